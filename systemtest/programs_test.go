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

// runProgram runs a program to its end and returns its output.
func runProgram(t *testing.T, name string, args ...string) string {
	t.Helper()
	output, err := exec.Command(filepath.Join(binariesDir, name), args...).CombinedOutput()
	assert.NilError(t, err, "%s %v: %s", name, args, output)
	return string(output)
}

// loadReport holds the fields of the report of ferry-load that the test uses.
type loadReport struct {
	Customers []struct {
		Requests int            `json:"requests"`
		OK       int            `json:"ok"`
		Outcomes map[string]int `json:"outcomes"`
	} `json:"customers"`
}

// TestProgramsTogether creates a key with ferryctl and sends reads and filings with it
// by ferry-load while an entry instance and an upstream are killed.
func TestProgramsTogether(t *testing.T) {
	s := startSystem(t, 3)
	platformArgs := []string{"-platform", s.platformURL}
	runProgram(t, "ferryctl", append([]string{"check"}, exampleFiles(t)...)...)
	created := runProgram(t, "ferryctl", append(append([]string{"key", "create"}, platformArgs...), "-customer", "a", "-name", "a-2")...)
	key := strings.Fields(created)[0]
	status := runProgram(t, "ferryctl", append(append([]string{"status"}, platformArgs...), "-version", "2", "-wait", waitTimeout.String())...)
	assert.Assert(t, strings.Contains(status, "version 2 is in force everywhere"), status)

	dir := t.TempDir()
	plan := fmt.Sprintf(`{"entries": ["http://%s", "http://%s"], "duration": "6s", "customers": [
		{"name": "a", "key": %q, "rate": "100/s", "requests": [
			{"path": "/read/1", "weight": 3},
			{"method": "POST", "path": "/file/1", "body": "vote", "at_most_once": true}]}]}`,
		s.entries[0].address, s.entries[1].address, key)
	planFile, reportFile := filepath.Join(dir, "plan.jsonc"), filepath.Join(dir, "report.json")
	assert.NilError(t, os.WriteFile(planFile, []byte(plan), 0o600))
	load := start(t, "ferry-load", "-plan", planFile, "-json", reportFile)
	time.Sleep(2 * time.Second)
	assert.NilError(t, s.entries[0].cmd.Process.Kill())
	time.Sleep(time.Second)
	assert.NilError(t, s.upstreams["lookup-1"].cmd.Process.Kill())
	assert.NilError(t, load.wait())

	data, err := os.ReadFile(reportFile)
	assert.NilError(t, err)
	var r loadReport
	assert.NilError(t, json.Unmarshal(data, &r))
	t.Logf("%+v", r)
	assert.Assert(t, r.Customers[0].OK > 0)
	for key, n := range s.executions() {
		assert.Assert(t, n <= 1, "%s ran %d times", key, n)
	}
}

// exampleFiles returns the configuration files of the example.
func exampleFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../examples/consortium/*.hujson")
	assert.NilError(t, err)
	return files
}
