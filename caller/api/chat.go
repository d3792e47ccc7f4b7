package api

import (
	"encoding/json"
	"strings"
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// roles are the roles that a chat's messages may have.
var roles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

// chatPrompt puts a chat's messages into one prompt: "role: content" for each,
// a line apart, and the assistant's turn left open.
func chatPrompt(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", Invalid(CodeBadField, "messages is missing or empty")
	}
	var b strings.Builder
	for i, m := range messages {
		if !roles[m.Role] {
			return "", Invalid(CodeBadField, "messages[%d].role must be system, developer, user or assistant", i)
		}
		text, ok := contentText(m.Content)
		if !ok {
			return "", Invalid(CodeBadField, "messages[%d].content must be a string or text parts", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

// contentText returns a message's text, which is a string or a list of text parts.
func contentText(raw json.RawMessage) (string, bool) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", false
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}
