// Package daemon assembles one entry instance from the other packages.
//
// One control goroutine owns the control state. All its inputs arrive as events;
// slow operations (calls to the platform and to peers) run in separate goroutines
// and post their results as events. After each event that changes the state, the
// control goroutine publishes an immutable view. Traffic goroutines read the view
// and never wait for the control goroutine.
//
// The components are wired with samber/do in wiring.go. Several instances can run
// in one process.
package daemon
