package requestkeys

import (
	"flag"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/rpc/entrypb"
)

var seeds = flag.Int("requestkeys.seeds", 12, "number of seeds of the randomised run")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func clock() time.Time { return epoch }

func TestParseKey(t *testing.T) {
	tests := []struct{ text, want string }{
		{"", "missing"},
		{"abc", "has no home"},
		{"a~0.", "unique part is empty"},
		{"a.b", "not one from"},
		{"a~-1.b", "not one from"},
		{"a~+1.b", "characters"},
		{"a~01.b", "not one from"},
		{"~1.b", "not one from"},
		{"a~1.b/c", "characters"},
		{"a~1.b c", "characters"},
		{"a~1." + strings.Repeat("x", MaxUniqueBytes+1), "unique part is longer"},
		{strings.Repeat("x", MaxHomeBytes) + "~1.b", "home is longer"},
	}
	for _, test := range tests {
		_, err := ParseKey(test.text)
		assert.ErrorContains(t, err, test.want)
		assert.Equal(t, errkind.Of(err), errkind.IdempotencyKeyMissing)
	}
	key, err := ParseKey("e-1.x~z.5f")
	assert.NilError(t, err)
	assert.Equal(t, key, Key{Incarnation: "e-1.x", Slot: 35, Unique: "5f"})
	assert.Equal(t, key.String(), "e-1.x~z.5f")
}

// step is one message to a home, sent at a time after the epoch.
type step struct {
	at       time.Duration
	claimant string
	// result is the result of a Complete; if it is zero, the message is a Claim.
	result entrypb.CompleteRequest_Result
	// want is the expected state in the response to a Claim.
	want entrypb.ClaimState
	// These fields replace the default values of apply unless they are empty.
	key, customer, fingerprint string
}

const (
	notRun  = entrypb.CompleteRequest_NOT_RUN
	ran     = entrypb.CompleteRequest_RAN
	unknown = entrypb.CompleteRequest_OUTCOME_UNKNOWN
)

const (
	claimed   = entrypb.ClaimState_CLAIMED
	running   = entrypb.ClaimState_IN_PROGRESS
	isDone    = entrypb.ClaimState_DONE
	isUnknown = entrypb.ClaimState_UNKNOWN
	mismatch  = entrypb.ClaimState_MISMATCH
	full      = entrypb.ClaimState_FULL
	notHome   = entrypb.ClaimState_NOT_HOME
)

// apply sends the message and returns the state in the response. For a Complete
// it returns want.
func (s step) apply(h *Home) entrypb.ClaimState {
	key, customer, fingerprint := "h~0.k", "mit", "f"
	for _, field := range []struct{ from, to *string }{{&s.key, &key}, {&s.customer, &customer}, {&s.fingerprint, &fingerprint}} {
		if *field.from != "" {
			*field.to = *field.from
		}
	}
	if s.result != 0 {
		h.Complete(&entrypb.CompleteRequest{
			Key: scopedKey(customer, key), Claimant: s.claimant, Result: s.result,
			Answer: &entrypb.RecordedAnswer{Status: 201, Body: []byte(s.claimant)},
		}, epoch.Add(s.at))
		return s.want
	}
	return h.Claim(&entrypb.ClaimRequest{
		Key: key, Customer: customer, Fingerprint: []byte(fingerprint), Claimant: s.claimant, DeadlineMs: 10_000,
	}, epoch.Add(s.at)).GetState()
}

func TestHome(t *testing.T) {
	const s, m = time.Second, time.Minute
	tests := []struct {
		name  string
		steps []step
	}{
		{"first claim", []step{{claimant: "a", want: claimed}}},
		{"repeated message", []step{{claimant: "a", want: claimed}, {claimant: "a", want: claimed}}},
		{"second claimant", []step{{claimant: "a", want: claimed}, {claimant: "b", want: running}}},
		{"done", []step{{claimant: "a", want: claimed}, {claimant: "a", result: ran}, {claimant: "b", want: isDone}, {claimant: "a", want: isDone}}},
		{"outcome unknown", []step{{claimant: "a", want: claimed}, {claimant: "a", result: unknown}, {claimant: "b", want: isUnknown}}},
		{"released", []step{{claimant: "a", want: claimed}, {claimant: "a", result: notRun}, {claimant: "b", want: claimed}, {claimant: "c", want: running}}},
		{"released claimant asks again", []step{{claimant: "a", want: claimed}, {claimant: "a", result: notRun}, {claimant: "a", want: running}, {claimant: "b", want: claimed}}},
		{"release before claim", []step{{claimant: "a", result: notRun}, {claimant: "a", want: running}, {claimant: "b", want: claimed}}},
		{"release of another's claim", []step{{claimant: "a", want: claimed}, {claimant: "b", result: notRun}, {claimant: "c", want: running}}},
		{"late release", []step{{claimant: "a", want: claimed}, {claimant: "a", result: notRun}, {claimant: "b", want: claimed}, {claimant: "a", result: notRun}, {claimant: "c", want: running}}},
		{"first result counts", []step{{claimant: "a", want: claimed}, {claimant: "a", result: ran}, {claimant: "a", result: notRun}, {claimant: "b", want: isDone}}},
		{"unknown stays", []step{{claimant: "a", want: claimed}, {claimant: "a", result: unknown}, {claimant: "a", result: notRun}, {claimant: "b", want: isUnknown}}},
		{"abandoned", []step{{claimant: "a", want: claimed}, {at: 11 * s, claimant: "b", want: isUnknown}, {at: 12 * s, claimant: "a", want: isUnknown}}},
		{"abandoned, then done", []step{{claimant: "a", want: claimed}, {at: 11 * s, claimant: "b", want: isUnknown}, {at: 12 * s, claimant: "a", result: ran}, {at: 13 * s, claimant: "b", want: isDone}}},
		{"abandoned, then released", []step{{claimant: "a", want: claimed}, {at: 11 * s, claimant: "b", want: isUnknown}, {at: 12 * s, claimant: "a", result: notRun}, {at: 13 * s, claimant: "b", want: claimed}}},
		{"another request", []step{{claimant: "a", want: claimed}, {claimant: "b", fingerprint: "g", want: mismatch}}},
		{"another customer", []step{{claimant: "a", want: claimed}, {claimant: "b", customer: "ulaval", want: claimed}, {claimant: "b", customer: "ulaval", result: ran}, {claimant: "c", want: running}}},
		{"another home", []step{{claimant: "a", key: "other~0.k", want: notHome}}},
		{"slot of the future", []step{{claimant: "a", key: "h~1.k", want: Expired}}},
		{"slot of the past", []step{{at: 9 * m, claimant: "a", want: claimed}, {at: 11 * m, claimant: "b", key: "h~0.other", want: Expired}, {at: 11 * m, claimant: "b", want: isUnknown}}},
		{"dropped slot", []step{{claimant: "a", want: claimed}, {at: 15 * m, claimant: "b", want: isUnknown}, {at: 15 * m, claimant: "b", key: "h~0.other", want: isUnknown}}},
		{"clock goes back", []step{{at: 16 * m, claimant: "a", key: "h~3.k", want: claimed}, {at: 0, claimant: "b", want: isUnknown}}},
		{"customer has too many claims", []step{{claimant: "a", key: "h~0.1", want: claimed}, {claimant: "a", key: "h~0.2", want: claimed}, {claimant: "a", key: "h~0.3", want: full}, {claimant: "b", customer: "ulaval", want: claimed}}},
		{"malformed", []step{{claimant: "a\nb", want: 0}, {claimant: "a", key: "h~0.x/y", want: 0}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker := &invariant.Checker{}
			h := NewHome(Config{Incarnation: "h", MaxClaims: 8, Invariants: checker}, epoch)
			for i, step := range test.steps {
				assert.Equal(t, step.apply(h), step.want, "step %d", i)
			}
			assert.Equal(t, checker.Total(), int64(0))
		})
	}
}

func TestRecordedResponsesAreBounded(t *testing.T) {
	h := NewHome(Config{Incarnation: "h", MaxAnswerBytes: 100, TotalAnswerBytes: 250}, epoch)
	wantOmitted := []bool{false, true, false, true}
	for i, size := range []int{100, 101, 100, 100} {
		key := Key{Incarnation: "h", Unique: string(rune('a' + i))}.String()
		claim := &entrypb.ClaimRequest{Key: key, Claimant: "a"}
		h.Claim(claim, epoch)
		response := &entrypb.RecordedAnswer{Status: 201, Body: make([]byte, size)}
		h.Complete(&entrypb.CompleteRequest{Key: scopedKey("", key), Claimant: "a", Result: ran, Answer: response}, epoch)
		got := h.Claim(claim, epoch).GetAnswer()
		assert.Equal(t, got.GetStatus(), uint32(201))
		assert.Equal(t, got.GetBodyOmitted(), wantOmitted[i])
	}
	h.expire(epoch.Add(time.Hour))
	assert.Equal(t, h.recordedBytes, 0)
	assert.Equal(t, h.claims+len(h.perCustomer), 0)
}
