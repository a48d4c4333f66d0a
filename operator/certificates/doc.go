// Package certificates makes the TLS material with which entry instances prove
// to each other what they are.
//
// An authority signs the certificates of instances. A certificate carries the
// DNS name that package entryinstance asks of every peer, and the name that
// binds it to one instance. Keys are ECDSA on the curve P-256.
//
// Nothing is kept: a lost authority is replaced by a new one, and who holds the
// key of the authority can join the system. The package does not revoke
// certificates; a short validity bounds the use of a stolen one.
package certificates
