// Package certificates creates the TLS certificates and keys with which entry
// instances authenticate each other.
//
// An authority signs the certificates of instances. A certificate contains the
// DNS name that package entryinstance requires of every peer, and the DNS name
// that binds it to one instance. Keys are ECDSA on the curve P-256.
//
// The package stores nothing: a lost authority is replaced by a new one, and
// anyone with the private key of the authority can join the system. The package
// does not revoke certificates; a short validity limits the use of a stolen one.
package certificates
