package edge

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
)

// cutStore is a store that cuts every watch.
type cutStore struct{ platform.Store }

func (cutStore) Watch(context.Context, string, platform.Revision, time.Duration) ([]platform.Entry, platform.Revision, error) {
	return nil, 0, errors.Wrap(platform.ErrUnavailable, "cut")
}

// Guards against an upstream that is used after its removal (DRAIN): each cut of the quiet watch of
// the operator's records counted as an outage of the store, in which removals are not confirmed.
func TestACutWatchOfTheOperatorsRecordsIsNoOutage(t *testing.T) {
	for prefix, want := range map[string]int{"": 1, records.PrefixOperator: 0} {
		var posted []event
		w := &storeWatcher{
			store: cutStore{}, log: zap.NewNop(), prefix: prefix,
			post: func(e event) { posted = append(posted, e) },
		}
		_, listed := w.watch(t.Context(), 10, 1)
		assert.Assert(t, listed, "the watch goes on from the same revision")
		assert.Equal(t, len(posted), want, "prefix %q: %v", prefix, posted)
	}
	c := newTestControl(t)
	now := time.Now()
	recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3)}, revision: 10, full: true}.apply(c, now)
	storeFailed{}.apply(c, now)
	recordsRead{revision: 11, prefix: records.PrefixOperator}.apply(c, now)
	assert.Assert(t, c.storeUnavailable, "the watch of all records decides whether the store is available")
}
