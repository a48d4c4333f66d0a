package systemtest

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// program runs a program to its end and returns its output.
func program(t *testing.T, name string, args ...string) string {
	t.Helper()
	output, err := exec.Command(filepath.Join(binaries, name), args...).CombinedOutput()
	assert.NilError(t, err, "%s %v: %s", name, args, output)
	return string(output)
}

// report is what the test reads of the report of ferry-load.
type report struct {
	Customers []struct {
		Requests int            `json:"requests"`
		OK       int            `json:"ok"`
		Outcomes map[string]int `json:"outcomes"`
	} `json:"customers"`
}

// TestProgramsTogether lets an operator make a key, and callers read and file
// with it while an entry instance and an upstream are killed.
func TestProgramsTogether(t *testing.T) {
	s := startSystem(t, 3)
	onPlatform := []string{"-platform", s.platformURL}
	program(t, "ferryctl", append([]string{"check"}, examples(t)...)...)
	created := program(t, "ferryctl", append(append([]string{"key", "create"}, onPlatform...), "-customer", "a", "-name", "a-2")...)
	key := strings.Fields(created)[0]
	status := program(t, "ferryctl", append(append([]string{"status"}, onPlatform...), "-version", "2", "-wait", waitTimeout.String())...)
	assert.Assert(t, strings.Contains(status, "version 2 is in force everywhere"), status)

	folder := t.TempDir()
	plan := fmt.Sprintf(`{"entries": ["http://%s", "http://%s"], "duration": "6s", "customers": [
		{"name": "a", "key": %q, "rate": "100/s", "requests": [
			{"path": "/read/1", "weight": 3},
			{"method": "POST", "path": "/file/1", "body": "vote", "at_most_once": true}]}]}`,
		s.entries[0].address, s.entries[1].address, key)
	planFile, reportFile := filepath.Join(folder, "plan.jsonc"), filepath.Join(folder, "report.json")
	assert.NilError(t, os.WriteFile(planFile, []byte(plan), 0o600))
	load := start(t, "ferry-load", "-plan", planFile, "-json", reportFile)
	time.Sleep(2 * time.Second)
	assert.NilError(t, s.entries[0].cmd.Process.Kill())
	time.Sleep(time.Second)
	assert.NilError(t, s.upstreams["lookup-1"].cmd.Process.Kill())
	assert.NilError(t, load.wait())

	data, err := os.ReadFile(reportFile)
	assert.NilError(t, err)
	var r report
	assert.NilError(t, json.Unmarshal(data, &r))
	t.Logf("%+v", r)
	assert.Assert(t, r.Customers[0].OK > 0)
	for key, n := range s.executions() {
		assert.Assert(t, n <= 1, "%s ran %d times", key, n)
	}
}

func examples(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../examples/consortium/*.hujson")
	assert.NilError(t, err)
	return files
}
