// Package errkind defines the closed list of error kinds and the response to
// each.
//
// Every refusal or failure that a caller can see is one Kind. The table gives
// its HTTP status, the outcome of the request at the upstream, the retry
// advice and the metric label. Code that refuses a request returns an error
// made with New or Wrap; the caller-facing server looks up the kind with Of
// and builds the response from the table alone, except for the detail and a
// delay set in Error.
//
// An outcome of NotRun is a guarantee that the request has not run: either no
// upstream has received any byte of it, or an upstream received it and shed it, stating
// that it did not run it.
// Code may use a kind with that outcome only when this is certain.
package errkind
