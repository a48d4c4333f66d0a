package explain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const firstLog = `  16.1 entry-1 {"level":"info","ts":"2026-01-01T00:00:10.5Z","msg":"request refused","request_id":"a","kind":"upstream_failed","ran":1}
  16.0 entry-1 {"level":"info","ts":"2026-01-01T00:00:10Z","msg":"attempt failed","request_id":"a","upstream":"u-1"}
no line of a log
{"level":"info","ts":"2026-01-01T00:00:08Z","msg":"upstreams changed","revision":7}
  10.0 entry-1 {"level":"info","ts":"2026-01-01T00:00:08Z","msg":"upstreams changed","revision":7}
  09.0 entry-1 {"level":"info","ts":"2026-01-01T00:00:01Z","msg":"configuration in force","version":3}
  16.0 entry-1 {"level":"info","ts":"2026-01-01T00:00:10Z","msg":"attempt failed","request_id":"b","upstream":"u-1"}
`

const secondLog = `{"level":"warn","ts":"2026-01-01T00:00:09Z","msg":"store lost"}
`

func TestWriteShowsRequestTimeline(t *testing.T) {
	l := &Log{}
	assert.NilError(t, l.Read("one", strings.NewReader(firstLog)))
	assert.NilError(t, l.Read("two", strings.NewReader(secondLog)))
	assert.Equal(t, l.Unreadable, 1)
	var out strings.Builder
	assert.NilError(t, l.Write(&out, "a"))
	want := []string{
		`    -2.000  entry-1          upstreams changed            revision=7`,
		`*   +0.000  entry-1          attempt failed               upstream="u-1"`,
		`*   +0.500  entry-1          request refused              kind="upstream_failed" ran=1`,
	}
	assert.Equal(t, out.String(), strings.Join(want, "\n")+"\n")
	assert.Assert(t, errors.Is(l.Write(&out, "c"), ErrNotFound))
}
