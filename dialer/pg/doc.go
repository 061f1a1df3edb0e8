// Package pg is the connection to targets: it encodes operations of the
// reducer as messages of the PostgreSQL protocol and decodes what the target
// answers. It decides nothing.
package pg
