// Package examples holds complete sets of objects.
package examples

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/routing"
)

func TestExamplesPassTheCheck(t *testing.T) {
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
