package relay

import (
	"cmp"
	"math/big"
	"strconv"
)

// eventID is the id of a stream's event.
type eventID struct {
	text   string
	number int64    // if it is a decimal that fits
	large  *big.Int // if it is one that doesn't fit
	kind   idKind
}

// idKind says how an id can be compared.
type idKind int

const (
	idOther   idKind = iota // only for being the same
	idDecimal               // by its value
)

// decimalBase is the base of ids that are numbers.
const decimalBase = 10

// parseEventID decodes an id.
func parseEventID(text string) eventID {
	if n, err := strconv.ParseInt(text, decimalBase, 64); err == nil {
		return eventID{text: text, number: n, kind: idDecimal}
	}
	if n, ok := new(big.Int).SetString(text, decimalBase); ok {
		return eventID{text: text, large: n, kind: idDecimal}
	}
	return eventID{text: text}
}

// compare compares the values of two decimal ids.
func (e eventID) compare(o eventID) int {
	if e.large == nil && o.large == nil {
		return cmp.Compare(e.number, o.number)
	}
	return e.value().Cmp(o.value())
}

// follows reports whether a decimal id is one higher than another.
func (e eventID) follows(o eventID) bool {
	if e.large == nil && o.large == nil {
		return e.number-1 == o.number
	}
	return new(big.Int).Sub(e.value(), o.value()).Cmp(big.NewInt(1)) == 0
}

// value returns the value of a decimal id.
func (e eventID) value() *big.Int {
	if e.large != nil {
		return e.large
	}
	return big.NewInt(e.number)
}
