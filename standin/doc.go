// Package standin is a stand-in for one member of a database group. Tests and
// the demo use it in place of a database; it is not part of the product.
//
// It speaks the PostgreSQL protocol over tables in memory, keeps a log whose
// entries carry the term of their primary, replicates asynchronously and
// executes promotion commands. As in the product, one reducer handles all
// events and returns effects as data. A single goroutine owns the reducer; the
// others read and write sockets.
package standin
