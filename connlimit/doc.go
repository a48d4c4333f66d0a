// Package connlimit bounds the open connections of callers, so that the process keeps file descriptors for
// upstreams and memory for requests, and can always accept.
//
// Load pattern: clients that open connections and then send nothing, send slowly, or do not read. Idle
// connections beyond a part of the limit are closed at intervals. At the bound itself each new connection
// takes the place of the one that has waited for its caller longest: callers that send their request at
// once are served beside any number of others.
package connlimit
