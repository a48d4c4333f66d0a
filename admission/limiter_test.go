package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/sharetable"
)

func shareOf(rate float64, burst int) []sharetable.Share {
	customer := sharetable.Customer{Name: "c", Rate: 10 * rate, Burst: 10 * burst}
	return []sharetable.Share{{Customer: customer, Rate: rate, Burst: burst}}
}

// newLimiter returns a confirmed limiter with two peers, whose bucket of customer c
// has the tokens.
func newLimiter(t *testing.T, now time.Time, share []sharetable.Share, tokens float64) *Limiter {
	checker := &invariant.Checker{OnViolation: func(name invariant.Name, detail string) { t.Error(name, detail) }}
	l := NewLimiter(Settings{Checker: checker}, now)
	l.Configure(now, share, true)
	l.Bucket("c").level = tokens
	l.SetPeers([]Peer{{Name: "far", Distance: OtherRegion}, {Name: "near", Distance: SameDomain}})
	return l
}

// admitAll returns how many requests are admitted before the first refusal.
func admitAll(l *Limiter, now time.Time) int {
	n := 0
	for l.Admit(now, l.Bucket("c")).Admitted {
		n++
	}
	return n
}

func TestShareChanges(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	later := now.Add(time.Second)
	for _, test := range []struct {
		name   string
		change func(l *Limiter)
		want   int
		kind   errkind.Kind
	}{
		{"a smaller burst cuts at once", func(l *Limiter) { l.Configure(now, shareOf(0, 3), true) }, 3, errkind.RateExceeded},
		{"a cut is not undone by a raise", func(l *Limiter) {
			l.Configure(now, shareOf(0, 3), true)
			l.Configure(now, shareOf(0, 20), true)
		}, 3, errkind.RateExceeded},
		{"a raise adds no tokens", func(l *Limiter) { l.Configure(now, shareOf(0, 20), true) }, 10, errkind.RateExceeded},
		{"no confirmation", func(l *Limiter) { l.Configure(now, shareOf(0, 10), false) }, 0, errkind.ShareUnconfirmed},
		{"confirmed again", func(l *Limiter) {
			l.Configure(now, shareOf(0, 10), false)
			l.Configure(now, shareOf(0, 10), true)
		}, 0, errkind.RateExceeded},
		{"no tick for long", func(l *Limiter) { l.tickedAt.Store(-int64(2 * DefaultMaxPause)) }, 0, errkind.ShareUnconfirmed},
		{"resumed after a pause", func(l *Limiter) {
			assert.Assert(t, l.Tick(now.Add(2*DefaultMaxPause)))
		}, 0, errkind.ShareUnconfirmed},
		{"resumed and confirmed", func(l *Limiter) {
			l.Tick(now.Add(2 * DefaultMaxPause))
			l.Configure(now.Add(2*DefaultMaxPause), shareOf(0, 10), true)
		}, 0, errkind.RateExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLimiter(t, now, shareOf(0, 10), 10)
			test.change(l)
			b := l.Bucket("c")
			assert.Equal(t, admitAll(l, later), test.want)
			assert.Equal(t, l.Admit(later, b).Kind, test.kind)
		})
	}
}

func TestRetryAfterIsTheTimeToTheNextToken(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := newLimiter(t, now, shareOf(3, 5), 0.2)
	refusal := l.Admit(now, l.Bucket("c"))
	assert.Equal(t, errkind.Of(refusal.Err()), errkind.RateExceeded)
	assert.Assert(t, !l.Admit(now.Add(refusal.RetryAfter-time.Millisecond), l.Bucket("c")).Admitted)
	assert.Assert(t, l.Admit(now.Add(refusal.RetryAfter), l.Bucket("c")).Admitted)
}

// A response counts once, and only while its loan is outstanding; it never yields
// more tokens than were requested.
func TestLoanResponses(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name    string
		respond func(l *Limiter, loan LoanRequest, whole []Grant)
		want    int
	}{
		{"once", func(l *Limiter, loan LoanRequest, whole []Grant) { l.Granted(now, loan.ID, whole) }, 4},
		{"twice", func(l *Limiter, loan LoanRequest, whole []Grant) {
			l.Granted(now, loan.ID, whole)
			l.Granted(now, loan.ID, whole)
		}, 4},
		{"too much", func(l *Limiter, loan LoanRequest, _ []Grant) {
			l.Granted(now, loan.ID, []Grant{{Customer: "c", Reserve: 100}})
		}, 4},
		{"after it was lost", func(l *Limiter, loan LoanRequest, whole []Grant) {
			l.LoanLost(now, loan.ID)
			l.Granted(now, loan.ID, whole)
		}, 0},
		{"after a pause", func(l *Limiter, loan LoanRequest, whole []Grant) {
			l.Tick(now.Add(2 * DefaultMaxPause))
			l.Configure(now, shareOf(0, 4), true)
			l.Granted(now, loan.ID, whole)
		}, 0},
		{"after the share was cut", func(l *Limiter, loan LoanRequest, whole []Grant) {
			l.Configure(now, shareOf(0, 1), true)
			l.Granted(now, loan.ID, whole)
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLimiter(t, now, shareOf(0, 4), 0)
			l.Bucket("c").demand.perSecond = 1000
			l.Bucket("c").active.Store(true)
			loans := l.PlanLoans(now)
			assert.Equal(t, loans[0].Peer, "near")
			assert.Equal(t, loans[0].Items[0].Reserve, 4.0)
			test.respond(l, loans[0], []Grant{{Customer: "c", Reserve: 4}})
			assert.Equal(t, admitAll(l, now), test.want)
		})
	}
}

// A response to a loan request that is received twice must be counted once.
func TestSpendTokensCountOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	share := shareOf(0, 0)
	share[0].Customer.Burst = 100
	l := newLimiter(t, now, share, 0)
	for range 4 {
		_, decision := l.Wait(now, l.Bucket("c"), time.Time{})
		assert.Assert(t, !decision.Admitted)
	}
	loan := l.PlanLoans(now)[0]
	assert.Equal(t, loan.Items[0].Spend, 4.0)
	for range 2 {
		l.Granted(now, loan.ID, []Grant{{Customer: "c", Spend: 2.5}})
	}
	assert.Equal(t, l.Bucket("c").Totals().BorrowedSpend, uint64(2))
}

func TestLenderRetainsItsDemand(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := newLimiter(t, now, shareOf(0, 10), 10)
	l.Bucket("c").demand.perSecond = 4 / DefaultHorizon.Seconds()
	grant := l.Lend(now, []Item{{Customer: "c", Spend: 2.5, Reserve: 100}, {Customer: "unknown", Spend: 1}})
	assert.DeepEqual(t, grant, []Grant{{Customer: "c", Spend: 2.5, Reserve: 3.5}, {Customer: "unknown"}})
	assert.Equal(t, admitAll(l, now), 4)
}

// directSender is an in-memory Sender with a delay.
type directSender struct{ lender *Limiter }

func (d directSender) Lend(_ context.Context, request LoanRequest) ([]Grant, error) {
	time.Sleep(24 * time.Millisecond)
	return d.lender.Lend(time.Now(), request.Items), nil
}

func TestWaitingRequestsGetBorrowedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		borrower := newLimiter(t, now, shareOf(0, 0), 0)
		lender := newLimiter(t, now, shareOf(0, 2), 2)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			NewExchange(borrower, directSender{lender}, 0).Run(ctx)
			close(done)
		}()
		b := borrower.Bucket("c")
		assert.Assert(t, borrower.AdmitWait(ctx, b).Admitted)
		assert.Equal(t, time.Since(now), 24*time.Millisecond)
		near, cancelNear := context.WithTimeout(ctx, DefaultMinTimeLeft/2)
		assert.Assert(t, !borrower.AdmitWait(near, b).Admitted)
		assert.Equal(t, time.Since(now), 24*time.Millisecond)
		cancelNear()
		assert.Assert(t, borrower.AdmitWait(ctx, b).Admitted)
		assert.Assert(t, !borrower.AdmitWait(ctx, b).Admitted)
		assert.Equal(t, b.Totals().BorrowedSpend, uint64(2))
		assert.Equal(t, lender.Bucket("c").Totals().LentSpend, 2.0)
		cancel()
		<-done
	})
}

// TestOversubscribedCustomerNeitherWaitsNorBorrows guards against requests of a
// customer far above its rate waiting for loans that no instance can grant.
func TestOversubscribedCustomerNeitherWaitsNorBorrows(t *testing.T) {
	now := time.Now()
	l := NewLimiter(Settings{}, now)
	l.SetPeers([]Peer{{Name: "a"}, {Name: "b"}})
	share := sharetable.Share{Customer: sharetable.Customer{Name: "acme", Rate: 2, Burst: 2}, Rate: 1, Burst: 2, Oversubscribed: true}
	l.Configure(now, []sharetable.Share{share}, true)
	b := l.Bucket("acme")
	for range 10 {
		w, decision := l.Wait(now, b, now.Add(time.Minute))
		assert.Assert(t, w == nil, "a request waits")
		assert.Assert(t, decision.Admitted || decision.RetryAfter > 0)
	}
	assert.Equal(t, len(l.PlanLoans(now)), 0)
}

// Guards against a question about the room of a customer that takes a token or counts as a
// request.
func TestRoomTakesNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := newLimiter(t, now, shareOf(1, 10), 0)
	b := l.Bucket("c")
	assert.Equal(t, l.Room(now, b, time.Time{}).Decision.RetryAfter, time.Second)
	assert.Assert(t, l.Room(now, b, time.Time{}).MayWait)
	later := now.Add(DefaultMaxPause / 2)
	l.Tick(later)
	tokens := l.Room(later, b, time.Time{}).Tokens
	assert.Equal(t, tokens, (DefaultMaxPause / 2).Seconds())
	for range 100 {
		assert.Equal(t, l.Room(later, b, time.Time{}).Tokens, tokens)
	}
	assert.Equal(t, b.Totals(), Totals{})
	assert.Equal(t, b.level, 0.0)
	assert.Equal(t, b.refilledAt, now)
	l.Configure(later, shareOf(1, 10), false)
	assert.Equal(t, l.Room(later, b, time.Time{}).Decision.Kind, errkind.ShareUnconfirmed)
}
