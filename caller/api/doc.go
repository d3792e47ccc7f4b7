// Package api holds the shapes of the callers' HTTP interface: OpenAI-style
// requests and answers, and the one shape of errors. It parses and encodes; it
// decides nothing and does no I/O.
package api
