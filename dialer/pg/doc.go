// Package pg implements connections to targets that speak the PostgreSQL
// protocol: it encodes the operations of the reducer as messages and decodes the
// answers of the target. All decisions are left to the reducer.
package pg
