package api

import (
	"encoding/json"
	"strings"
)

// requestMessage is a message of a chat request.
type requestMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message whose content is a list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// roles holds the allowed roles of chat messages.
var roles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

// chatPrompt joins a chat's messages into one prompt: a line "role: content" for each
// message, followed by "assistant:" for the model to continue.
func chatPrompt(messages []requestMessage) (string, error) {
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

// contentText returns the text of a message's content, which is a string or a list
// of text parts. It returns false for any other content.
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
