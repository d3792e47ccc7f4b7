package standin

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"greengageferry/infra"
)

// Natural answers are between minAnswerTokens and minAnswerTokens+answerSpread
// tokens long, and shorter where the request bounds them.
const (
	minAnswerTokens = 24
	answerSpread    = 233
)

// words are what answers are made of.
var words = [...]string{
	"arch", "beam", "cart", "cornice", "crack", "damp", "dock", "draft", "façade", "flag",
	"galley", "gate", "halal", "joint", "kosher", "ledger", "lime", "meal", "mortar", "note",
	"oven", "plaster", "porch", "rack", "roof", "salt", "seat", "slate", "tray", "truss", "vault", "wall",
}

// Answer is the one answer to a prompt: a pure function of model, adapter,
// prompt and seed, so that each server gives the same, and each token can be
// checked.
type Answer struct {
	base   uint64
	length int
}

// AnswerTo returns the answer to a request, whatever its attempt, prefix and
// version.
func AnswerTo(req infra.GenerateRequest) Answer {
	d := xxhash.New()
	for _, s := range []string{req.Model, req.Adapter, req.Prompt} {
		_, _ = d.WriteString(strconv.Itoa(len(s)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, req.Seed))
	base := d.Sum64()
	return Answer{base: base, length: minAnswerTokens + int(base%answerSpread)}
}

// Token returns the token at the index.
func (a Answer) Token(index int) string {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a.base)
	binary.LittleEndian.PutUint64(buf[8:], uint64(index))
	h := xxhash.Sum64(buf[:])
	return words[h%uint64(len(words))] + strconv.FormatUint(h>>48, 36) + " "
}

// Length returns how many tokens the answer has within a bound, and why it ends
// there.
func (a Answer) Length(maxTokens int) (int, infra.Finish) {
	if a.length <= maxTokens {
		return a.length, infra.FinishStop
	}
	return maxTokens, infra.FinishLength
}

// Text returns the whole answer within a bound.
func (a Answer) Text(maxTokens int) string {
	n, _ := a.Length(maxTokens)
	var text []byte
	for i := range n {
		text = append(text, a.Token(i)...)
	}
	return string(text)
}
