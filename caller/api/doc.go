// Package api defines the JSON formats of the callers' HTTP interface. Parse decodes
// OpenAI-compatible completion and chat requests into a Request. AnswerInfo encodes
// complete answers, EventEncoder the server-sent events of streamed ones, and Problem
// all errors. The package does no I/O and makes no decisions about requests.
package api
