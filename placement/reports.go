package placement

import "time"

const (
	// maxSharedReports bounds the reports that Reports returns.
	maxSharedReports = 64
	// maxLearned bounds the reports that are kept for Reports.
	maxLearned = 256
	// maxReportedRequests bounds the load that a report of another instance may state.
	maxReportedRequests = 1 << 16
)

// Report is the load that an upstream has stated in a response.
type Report struct {
	// Upstream is the hash of its id.
	Upstream uint64
	// Requests is the number of requests that ran or waited there.
	Requests int
	// At is when the response arrived.
	At time.Time
}

// learn records the load in a response to this instance.
func (p *Pool) learn(now time.Time, t *target, load Load) {
	t.recordLoad(now, load.Requests)
	p.recordPace(now, t, load.Pace)
	p.observeUtilization(t)
	stale := 0
	for stale < len(p.learned) && (now.Sub(p.learned[stale].At) > maxReportAge || len(p.learned)-stale >= maxLearned) {
		stale++
	}
	p.learned = append(p.learned[stale:], Report{Upstream: t.hash, Requests: load.Requests, At: now})
}

// Reports returns the newest load of each upstream in responses to this instance that are not
// older than maxAge, 64 at most, for other instances. In a large fleet one instance sends a request
// to a given upstream about once a minute; all instances of a failure domain together do so often.
func (p *Pool) Reports(now time.Time, maxAge time.Duration) []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []Report
	seen := map[uint64]bool{}
	for n := len(p.learned) - 1; n >= 0 && len(reports) < maxSharedReports; n-- {
		r := p.learned[n]
		if now.Sub(r.At) > maxAge {
			break
		}
		if !seen[r.Upstream] {
			seen[r.Upstream] = true
			reports = append(reports, r)
		}
	}
	return reports
}

// MergeReports records the reports of another instance. One that is newer than what is known of
// the upstream replaces that; those of unknown upstreams are ignored.
func (p *Pool) MergeReports(now time.Time, reports []Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		t := p.byHash[r.Upstream]
		if t == nil || !r.At.After(t.reportedAt) || now.Sub(r.At) > maxReportAge || r.Requests < 0 || r.Requests > maxReportedRequests {
			continue
		}
		t.reported, t.reportedAt, t.inFlightAtReport = r.Requests, r.At, t.inFlight
		p.observeUtilization(t)
	}
}
