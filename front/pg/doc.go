// Package pg is the front for callers that speak the PostgreSQL protocol. It
// turns each batch of messages into a request of the reducer and an answer or
// refusal back into messages. Whether, where and when a request runs is not
// decided here.
package pg
