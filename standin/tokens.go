package standin

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"greengageferry/infra"
)

// An answer has at least minAnswerTokens and fewer than
// minAnswerTokens+answerTokenRange tokens, or fewer where the request limits it.
const (
	minAnswerTokens  = 24
	answerTokenRange = 233
)

// words are the vocabulary of answers.
var words = [...]string{
	"arch", "beam", "cart", "cornice", "crack", "damp", "dock", "draft", "façade", "flag",
	"galley", "gate", "halal", "joint", "kosher", "ledger", "lime", "meal", "mortar", "note",
	"oven", "plaster", "porch", "rack", "roof", "salt", "seat", "slate", "tray", "truss", "vault", "wall",
}

// Answer is the expected answer to a request. It is a pure function of model,
// adapter, prompt and seed, so that every server generates the same answer and each
// token can be checked.
type Answer struct {
	base   uint64
	length int
}

// AnswerTo returns the answer to a request. The answer does not depend on the
// request's attempt, prefix, version or token limit.
func AnswerTo(req infra.GenerateRequest) Answer {
	d := xxhash.New()
	for _, s := range []string{req.Model, req.Adapter, req.Prompt} {
		_, _ = d.WriteString(strconv.Itoa(len(s)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, req.Seed))
	base := d.Sum64()
	return Answer{base: base, length: minAnswerTokens + int(base%answerTokenRange)}
}

// Token returns the token at the index, counted from 0.
func (a Answer) Token(index int) string {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a.base)
	binary.LittleEndian.PutUint64(buf[8:], uint64(index))
	h := xxhash.Sum64(buf[:])
	return words[h%uint64(len(words))] + strconv.FormatUint(h>>48, 36) + " "
}

// Length returns the answer's length under the limit, in tokens, and why the answer
// ends there.
func (a Answer) Length(maxTokens int) (int, infra.Finish) {
	if a.length <= maxTokens {
		return a.length, infra.FinishStop
	}
	return maxTokens, infra.FinishLength
}

// Text returns the text of the first maxTokens tokens, or of all if there are fewer.
func (a Answer) Text(maxTokens int) string {
	n, _ := a.Length(maxTokens)
	var text []byte
	for i := range n {
		text = append(text, a.Token(i)...)
	}
	return string(text)
}
