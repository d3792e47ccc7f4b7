package instance

import (
	"bytes"
	"context"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"greengageferry/exchange"
	"greengageferry/quarantine"
	"greengageferry/supervise"
)

// QuarantineStore keeps the quarantined requests beyond the end of all instances. Without
// it, a request that crashes servers would crash more of them after all instances were
// restarted at once.
type QuarantineStore interface {
	SaveQuarantines(ctx context.Context, data []byte) error
	LoadQuarantines(ctx context.Context) ([]byte, error) // nil: none were saved
}

const (
	// quarantineSaveInterval is how often an instance checks whether to load or save.
	quarantineSaveInterval = 200 * time.Millisecond
	// quarantineStoreTimeout bounds one read or write.
	quarantineStoreTimeout = 400 * time.Millisecond
	// quarantineRetryDelay is the pause after a read or write that failed.
	quarantineRetryDelay = 2 * time.Second
)

// keep is the duty that loads the quarantined requests once after the start, and saves them
// while this instance holds the lease. A loaded crash is as old as when it was saved: the
// time in between isn't known without comparing clocks.
func (s *suspects) keep(ctx context.Context) error {
	if s.instance.opts.Quarantines == nil {
		<-ctx.Done()
		return nil
	}
	loaded, saved := false, ""
	next := time.Now().Add(rand.N(quarantineSaveInterval)) // so that not all instances call at once
	for supervise.Pause(ctx, quarantineSaveInterval) {
		now := time.Now()
		if now.Before(next) {
			continue
		}
		if !loaded {
			loaded = s.load(ctx)
			next = now.Add(quarantineRetryDelay)
			continue
		}
		quarantined := s.quarantined()
		key := joinFingerprints(quarantined)
		if key == saved || !s.instance.lease.Holds() {
			continue
		}
		next = now.Add(quarantineRetryDelay)
		if s.save(ctx, quarantined) {
			saved = key
		}
	}
	return nil
}

// quarantined returns the quarantined requests in a fixed order.
func (s *suspects) quarantined() []quarantine.Fingerprint {
	if !s.Active() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []quarantine.Fingerprint
	for f := range s.set.Suspects() {
		if s.isQuarantined(f) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b quarantine.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return out[:min(len(out), maxExchangedSuspects)]
}

func joinFingerprints(fingerprints []quarantine.Fingerprint) string {
	key := make([]byte, 0, len(fingerprints)*len(quarantine.Fingerprint{}))
	for _, f := range fingerprints {
		key = append(key, f[:]...)
	}
	return string(key)
}

// load adds the requests that were saved, and reports whether the store answered.
func (s *suspects) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
	defer cancel()
	began := time.Now()
	data, err := s.instance.opts.Quarantines.LoadQuarantines(ctx)
	s.instance.metrics.observeStoreCall("quarantines", began, err)
	if err != nil {
		s.instance.log.WithField("error", err).Warn("quarantined requests not loaded")
		return false
	}
	var report exchange.CrashReport
	if err := proto.Unmarshal(data, &report); err != nil {
		s.instance.log.WithField("error", err).Warn("saved quarantined requests not usable")
		return true
	}
	if added := s.merge(report.GetSuspects()); len(added) > 0 {
		s.instance.log.WithField("requests", len(report.GetSuspects())).Info("quarantined requests loaded")
	}
	return true
}

// save writes the quarantined requests.
func (s *suspects) save(ctx context.Context, quarantined []quarantine.Fingerprint) bool {
	s.mu.Lock()
	report := &exchange.CrashReport{Suspects: s.wireSuspects(quarantined)}
	s.mu.Unlock()
	data, err := proto.Marshal(report)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
		defer cancel()
		err = s.instance.opts.Quarantines.SaveQuarantines(ctx, data)
	}
	if err != nil {
		s.instance.log.WithFields(logrus.Fields{"requests": len(quarantined), "error": err}).Warn("quarantined requests not saved")
		return false
	}
	for _, f := range quarantined {
		s.instance.log.WithField("fingerprint", hex.EncodeToString(f[:])).Info("quarantined request saved")
	}
	return true
}
