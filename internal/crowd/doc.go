// Package crowd tests the programs with clients that don't keep to the limits of the interface: many at once that stop
// in the middle of a request, send more than is allowed, or read no answer. The programs run as separate processes on
// loopback.
//
// The tests check that each process lives and stays within the memory and the descriptors of its machine, and that an
// ordinary request is answered. They depend on no speed; run them apart from other load all the same.
package crowd
