// Package admission decides whether a request is within its customer's rate,
// and lends tokens between entry instances.
//
// # The bound
//
// Each entry instance has one token bucket for each customer, with the rate
// and burst of its share (package sharetable). A request takes one whole token
// or is refused. Over any window W the requests of a customer that all
// instances together admit are at most burst + rate x W, because:
//
//   - the shares in use never add up to more than the whole,
//   - tokens in a bucket plus the capacity that is reserved in it never exceed its
//     burst; a smaller burst cuts them at once,
//   - a bucket is empty after a start, a takeover and a pause, and a larger
//     share adds no tokens by itself,
//   - a loan moves tokens: the lender removes them before it responds.
//
// The instant of an admission is the instant at which its token leaves a
// bucket, at whichever instance.
//
// # Loans
//
// An instance whose demand exceeds its share requests tokens from others, nearest
// first, in messages that cover many customers. Reserve tokens are requested ahead
// of need, into capacity that the borrower has reserved in its bucket. Spend
// tokens are requested for requests that are waiting at that time; they count as
// spent when they leave the lender. Fractions of a token add up while a request
// waits; what is left when none waits is dropped. A lost, late or repeated response
// loses tokens and never duplicates them: a response counts once, and only while its
// loan is outstanding. A lender retains what its own demand is about to need.
//
// # Customers over their rate
//
// A customer that is over its rate everywhere finds no lender, so its requests are refused
// without a wait: once the announced demand shows it, or, with Settings.RefuseFutile, once the
// last loans brought less than a quarter of the tokens. Loans show it after a few requests, the
// announced demand after seconds. It borrows nothing then, and asks again every two seconds.
// Requests for which the bucket itself yields tokens in time still wait.
//
// In a large fleet the buckets of a customer hold more than its burst together. Once loans are futile,
// a bucket owes a quarter of that: the next tokens that it gains are dropped.
//
// # Limits
//
// A process that is suspended between the check of a request and the removal
// of its token takes that token when it resumes: one request for each
// goroutine that was inside Admit. A machine that was suspended while its
// monotonic clock stood still admits requests until the control goroutine's next
// tick compares the wall clock.
package admission
