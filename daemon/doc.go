// Package daemon makes one entry instance out of the other packages.
//
// One control goroutine owns the control state. Everything that it has to know
// reaches it as an event; whatever takes time (calls on the platform and on other
// entry instances) runs in a goroutine of its own and ends in an event. After
// each event the control goroutine publishes an immutable view. Traffic
// goroutines read the view and never wait for the control goroutine.
//
// The parts are wired with samber/do in wiring.go. Several instances can run in
// one process.
package daemon
