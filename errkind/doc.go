// Package errkind holds the closed list of error kinds and the table from
// kind to answer.
//
// Every refusal or failure that a caller can see is one Kind. The table gives
// its HTTP status, the outcome of the request at the upstream, the retry
// advice and the metric label. Code that refuses a request returns an error
// made with New or Wrap; the caller-facing server looks the kind up with Of
// and answers from the table alone.
//
// An outcome of NotRun is a promise: no upstream has received any byte of the
// request. Code must use a kind with that outcome only when it is certain.
package errkind
