package instance

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"greengageferry/exchange"
	"greengageferry/residency"
)

// tokenClient asks the processes of earlier lease holders for the fencing token that they know.
type tokenClient struct {
	instance *Instance
	client   *http.Client
}

func newTokenClient(i *Instance) *tokenClient {
	return &tokenClient{i, newHolderClient()}
}

// ask tells the process at a member's address this instance's token, and returns the highest that
// that process knows then.
func (c *tokenClient) ask(ctx context.Context, member string) (residency.Token, error) {
	addr := memberAddr(member)
	if addr == "" {
		return residency.Token{}, errors.Newf("member %q without an address", member)
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	res, err := exchange.NewExchangeProtobufClient("http://"+addr, c.client).State(ctx, c.instance.stateRequest())
	if err != nil {
		return residency.Token{}, errors.Wrap(err, "asking for the fencing token")
	}
	return tokenFromWire(res.GetToken()), nil
}
