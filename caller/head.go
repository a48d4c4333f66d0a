package caller

import (
	"math"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/requesthead"
)

// headFields are the fields that Accept treats specially, but for those that carry a key by the
// configuration. Authorization may be repeated: the key is read from the first one, and every field
// that has it is removed.
var headFields = requesthead.Fields{
	Kept: []string{"Authorization", "Idempotency-Key", dispatch.HeaderRequestID, dispatch.HeaderDeadline},
	Once: []string{"Idempotency-Key", dispatch.HeaderDeadline},
}

// newHeads returns what the connections of the server share to inspect heads.
func (s *Server) newHeads() *headgate.Options {
	return &headgate.Options{
		Limits:  requesthead.LimitsFor(s.settings.MaxHeaderBytes, s.settings.MaxHeaderLines, s.settings.MaxEmptyLines),
		Timeout: s.settings.HeaderTimeout,
		Budget:  buffers.New(s.memoryLimits()),
		Count:   s.countReason,
	}
}

// memoryLimits returns the limits of heads and bodies. Without the memory of the machine only heads are bounded.
func (s *Server) memoryLimits() buffers.Limits {
	if s.settings.MemoryBytes == 0 {
		return buffers.Limits{Bytes: math.MaxInt64 / 2, Heads: s.settings.HeadMemoryBytes}
	}
	limits := buffers.LimitsFor(s.settings.MemoryBytes, s.settings.MaxConnections)
	limits.Heads = min(limits.Bytes/2, s.settings.HeadMemoryBytes)
	return limits
}

func (s *Server) countReason(reason requesthead.Reason) {
	s.services.Metrics.Counter("ferry_heads_refused_total", "reason", string(reason)).Inc()
}

// countHeadRefusal counts an error that is a refusal of the head.
func (s *Server) countHeadRefusal(err error) {
	var refusal *requesthead.Refusal
	if errors.As(err, &refusal) {
		s.countReason(refusal.Reason)
	}
}

// acceptHead decides whether the head of the request is accepted, before any other part reads it.
// The holder is nil for a request of a connection without a gate.
func (s *Server) acceptHead(w http.ResponseWriter, r *http.Request) (requesthead.Head, *buffers.Holder, error) {
	held, err := headgate.Take(r)
	if err != nil {
		w.Header().Set("Connection", "close")
		return requesthead.Head{}, nil, err
	}
	fields := headFields
	if table := s.services.Tables.Table(); table != nil {
		fields.Kept = slices.Concat(fields.Kept, table.KeyHeaders)
	}
	head, err := requesthead.Accept(r, fields)
	s.countHeadRefusal(err)
	return head, held, err
}
