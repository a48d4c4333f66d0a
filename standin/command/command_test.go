package command

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
)

func TestUsage(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"-help"}, exitOK, "USAGE"},
		{[]string{"platform", "-help"}, exitOK, "-instances"},
		{[]string{"-version"}, exitOK, "0."},
		{nil, exitBadUsage, "USAGE"},
		{[]string{"platform", "-listne", "x"}, exitBadUsage, "not defined"},
		{[]string{"platform", "-listen", "nowhere"}, exitFailed, "missing port"},
		{[]string{"platform", "-instances", "/does/not/exist"}, exitFailed, "no such file"},
	} {
		var output bytes.Buffer
		code := Main(t.Context(), "ferry-standin", c.args, &output, &output)
		assert.Equal(t, code, c.code, "%v: %s", c.args, output.String())
		assert.Assert(t, strings.Contains(output.String(), c.want), "%v: %s", c.args, output.String())
	}
}

func TestPlatformServesUntilContextEnds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "instances")
	assert.NilError(t, os.WriteFile(file, []byte("{\"instances\": [{\"name\": \"e1\", \"role\": \"entry\",},]} // one\n"), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	code := make(chan int, 1)
	go func() {
		code <- Main(ctx, "ferry-standin", []string{"platform", "-listen", "127.0.0.1:0", "-instances", file}, writer, writer)
		writer.Close()
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	assert.NilError(t, err)
	url := strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
	response, err := http.Get(url + platform.PathInstances)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, strings.Contains(string(body), `"e1"`), string(body))
	cancel()
	assert.Equal(t, <-code, exitOK)
}
