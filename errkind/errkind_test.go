package errkind

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestEveryKindHasACompleteRow(t *testing.T) {
	names := map[string]bool{}
	for _, kind := range All() {
		row := kind.Row()
		assert.Assert(t, row.Name != "", "kind %d", kind)
		assert.Assert(t, !names[row.Name], "duplicate name %s", row.Name)
		names[row.Name] = true
		assert.Assert(t, row.Status >= 400 && row.Status < 600, row.Name)
		assert.Assert(t, row.Outcome == NotRun || row.Outcome == Unknown || row.Outcome == Ran, row.Name)
		assert.Assert(t, row.Title != "", row.Name)
		byName, ok := ByName(row.Name)
		assert.Assert(t, ok)
		assert.Equal(t, byName, kind)
	}
}

func TestOfFindsKindOfWrappedError(t *testing.T) {
	err := errors.Wrap(New(RateExceeded, "customer a"), "admission")
	assert.Equal(t, Of(err), RateExceeded)
	assert.Equal(t, Of(errors.New("other")), Internal)
}
