// Package standin is a stand-in for one member of a database group. Tests and
// the demo use it in place of a database; it is no part of the product.
//
// It speaks the PostgreSQL protocol over a small ledger in memory, keeps a log
// with terms, replicates asynchronously and takes orders of promotion. As in
// the product, one reducer steps over all events and answers with effects as
// data; one goroutine owns it, and the others read and write sockets.
package standin
