//go:build !broken

package etcd

// ownCopy tells whether reads are answered from a node's own copy that ask for the leader's: never, in this build.
func ownCopy() bool { return false }
