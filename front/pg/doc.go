// Package pg is the front end for callers that speak the PostgreSQL protocol. It
// turns each batch of messages into a request to the reducer, and the answer or
// refusal back into messages. The reducer decides whether, where and when a
// request runs.
package pg
