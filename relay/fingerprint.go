package relay

import "greengageferry/quarantine"

// fingerprint identifies the call's request. It is the same whenever the caller sends the
// request again, through any instance. The request's id is not part of it, since each of
// the caller's attempts has another.
func (c *call) fingerprint() quarantine.Fingerprint {
	c.fingerprintOnce.Do(func() {
		c.fingerprintValue = quarantine.NewFingerprint(
			[]byte(c.accountName()), []byte(c.req.Method), []byte(c.req.Host), []byte(c.req.RequestURI),
			[]byte(c.headers.Model), []byte(c.headers.Adapter), c.body)
	})
	return c.fingerprintValue
}

// partFingerprints identify the parts of the call's prompt that other requests may share.
func (c *call) partFingerprints() []quarantine.Fingerprint {
	c.partsOnce.Do(func() {
		for _, id := range c.headers.SharedParts {
			c.parts = append(c.parts, quarantine.NewPartFingerprint(id))
		}
	})
	return c.parts
}
