package platform

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"samphireferry.example/ferry/platform"
)

// Copy is a copy of the contents of the store at one time.
type Copy struct {
	revision platform.Revision
	keys     map[string]*history
	leases   []platform.LeaseID
}

// Copy returns a copy of the current contents.
func (p *Platform) Copy() *Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Copy{revision: p.revision, keys: cloneKeys(p.keys), leases: slices.Collect(maps.Keys(p.leases))}
}

func cloneKeys(keys map[string]*history) map[string]*history {
	cloned := make(map[string]*history, len(keys))
	for key, h := range keys {
		cloned[key] = &history{states: slices.Clone(h.states)}
	}
	return cloned
}

// rewritten are the prefixes of the keys that their writers write again after a restore.
var rewritten = []string{"op/", "servers/"}

// Restore replaces the contents by those of the copy. The revision goes back, and leases
// that were granted since are gone. The operator and the upstreams write again what they
// have written since.
func (p *Platform) Restore(c *Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.keys
	p.era++
	p.revision, p.keys = c.revision, cloneKeys(c.keys)
	for id, l := range p.leases {
		if !slices.Contains(c.leases, id) {
			l.timer.Stop()
			delete(p.leases, id)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		isRewritten := slices.ContainsFunc(rewritten, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
		entry := last[key].newest().entry
		if old := p.keys[key]; isRewritten && (old == nil || old.newest().entry.Deleted != entry.Deleted || !bytes.Equal(old.newest().entry.Value, entry.Value)) {
			p.write(key, entry.Value, 0, entry.Deleted)
		}
	}
	p.notify()
}

// withEra states the era in every response.
func (p *Platform) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, platform: p}, r)
	})
}

// eraWriter sets the header with the era at the time of the response.
type eraWriter struct {
	http.ResponseWriter
	platform *Platform
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.platform.mu.Lock()
	era := w.platform.era
	w.platform.mu.Unlock()
	w.Header().Set(platform.HeaderEra, strconv.FormatInt(era, 10))
	w.ResponseWriter.WriteHeader(status)
}
