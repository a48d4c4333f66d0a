// Package examples contains complete example configurations and settings.
package examples

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/routing"
)

func TestExamplesPassCheck(t *testing.T) {
	for _, name := range []string{"consortium", "magnolia"} {
		t.Run(name, func(t *testing.T) {
			files, err := filepath.Glob(filepath.Join(name, "*.hujson"))
			assert.NilError(t, err)
			source, err := dynamic.Load(files...)
			assert.NilError(t, err)
			assert.NilError(t, source.Check().Err())
			_, err = routing.Compile(&dynamic.Config{Version: 1, Set: source.Set})
			assert.NilError(t, err)
			assert.Equal(t, len(source.Set.FailureDomains), 6)
			assert.Equal(t, len(source.Set.Upstreams), 12+12+16)
		})
	}
}

func TestExampleSettingsAreAcceptedAndComplete(t *testing.T) {
	settings, err := static.Parse("ferry-entry", []string{"-config", "entry.jsonc"}, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, settings.Name, "entry-1")
	text, err := os.ReadFile("entry.jsonc")
	assert.NilError(t, err)
	var help bytes.Buffer
	_, _ = static.Parse("ferry-entry", []string{"-help"}, &help)
	for _, m := range regexp.MustCompile(`(?m)^ +-([a-z-]+)`).FindAllStringSubmatch(help.String(), -1) {
		if name := m[1]; name != "config" && name != "check" && name != "version" {
			assert.Assert(t, bytes.Contains(text, []byte(`"`+name+`":`)), "entry.jsonc lacks %s", name)
		}
	}
}
