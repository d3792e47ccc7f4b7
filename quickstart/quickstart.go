// Package quickstart runs both partners' deployments in small, in one process
// on loopback: stand-ins for the platform, model engines and plain services,
// and entry instances in four failure domains. It is for a first look and for
// the tests of the whole system; nothing that it holds lasts.
package quickstart

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"time"

	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/standin"
)

// The partners' names and the callers' keys of the files in partners/.
const (
	FlightKitchen    = "flight-kitchen"
	Instituto        = "instituto"
	FlightKitchenKey = "quickstart-flight-kitchen"
	InstitutoKey     = "quickstart-instituto"
)

//go:embed partners
var partnerFiles embed.FS

// Files returns the partners' files.
func Files() ([]config.File, error) {
	var files []config.File
	err := fs.WalkDir(partnerFiles, "partners", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := partnerFiles.ReadFile(name)
		if err != nil {
			return err
		}
		files = append(files, config.File{
			Name:    path.Base(name),
			Partner: path.Base(path.Dir(name)),
			Author:  "quickstart",
			Content: content,
		})
		return nil
	})
	return files, err
}

// Domain is a failure domain of the deployment.
type Domain struct {
	Name    string
	Region  string
	Partner string // whose backend servers are here
	Pool    string // its model engines
	Engines int
	Service string // its plain service
}

// Domains are the failure domains that the partners' files speak of.
func Domains() []Domain {
	return []Domain{
		{"dock-hall-a", "nashua-valley", FlightKitchen, "galley-models", 2, "order-desk"},
		{"dock-hall-b", "nashua-valley", FlightKitchen, "galley-models", 2, "order-desk"},
		{"porto-a", "sul", Instituto, "redator", 2, "campo"},
		{"pelotas", "sul", Instituto, "redator", 2, "campo"},
	}
}

// The sizes that the partners' files declare.
const (
	engineMemoryMiB = 24000
	galleySlots     = 8
	redatorSlots    = 6
	// weightsMiBPerSecond makes a model of 9,000 MiB ready within half a
	// second, so that a first run doesn't wait.
	weightsMiBPerSecond = 20000
	serviceWork         = 5 * time.Millisecond
)

// storeLimits are the partners' own: about 3 loads a second with 3 at a time,
// and 1 a second with 7 at a time.
func storeLimits() map[string]infra.StoreLimits {
	return map[string]infra.StoreLimits{
		FlightKitchen: {LoadsPerSecond: 3, ConcurrentLoads: 3},
		Instituto:     {LoadsPerSecond: 1, ConcurrentLoads: 7},
	}
}

// Platform is the platform's stand-ins and the backend servers, each on a
// loopback address of its own.
type Platform struct {
	Log      *standin.Log
	List     *standin.InstanceList
	Store    *standin.WeightStore
	Engines  map[string]*standin.Engine  // by id
	Services map[string]*standin.Service // by id
	Servers  map[string]*standin.Server  // by id, and "log", "list" and "store"
}

// PlatformOptions change the stand-ins for a test.
type PlatformOptions struct {
	Domains     []Domain // default Domains()
	ListLag     time.Duration
	History     bool // the log keeps all records for its truth
	RestartTime time.Duration
}

// StartPlatform starts the stand-ins. Close ends them.
func StartPlatform(opts PlatformOptions) (*Platform, error) {
	if opts.Domains == nil {
		opts.Domains = Domains()
	}
	p := &Platform{
		Log:      standin.NewLog(standin.LogOptions{History: opts.History}),
		List:     standin.NewInstanceList(opts.ListLag),
		Store:    standin.NewWeightStore(standin.StoreOptions{Limits: storeLimits(), MiBPerSecond: weightsMiBPerSecond}),
		Engines:  map[string]*standin.Engine{},
		Services: map[string]*standin.Service{},
		Servers:  map[string]*standin.Server{},
	}
	if err := p.start(opts); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start(opts PlatformOptions) error {
	services := map[string]standin.Fake{"log": p.Log, "list": p.List, "store": p.Store}
	for name, s := range services {
		if err := p.serve(name, s); err != nil {
			return err
		}
	}
	for _, d := range opts.Domains {
		if err := p.startDomain(d, opts); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) startDomain(d Domain, opts PlatformOptions) error {
	for n := range d.Engines {
		id := fmt.Sprintf("%s-%s-%d", d.Pool, d.Name, n+1)
		p.Engines[id] = standin.NewEngine(p.engineOptions(id, d, opts))
		if err := p.serve(id, p.Engines[id]); err != nil {
			return err
		}
		p.list(id, infra.RoleEngine, d, d.Pool, engineMemoryMiB)
	}
	id := fmt.Sprintf("%s-%s-1", d.Service, d.Name)
	p.Services[id] = standin.NewService(standin.ServiceOptions{Name: d.Service, CallDuration: serviceWork})
	if err := p.serve(id, p.Services[id]); err != nil {
		return err
	}
	p.list(id, infra.RoleService, d, d.Service, 0)
	return nil
}

func (p *Platform) engineOptions(id string, d Domain, opts PlatformOptions) standin.EngineOptions {
	o := standin.EngineOptions{
		ID:          id,
		Partner:     d.Partner,
		MemoryMiB:   engineMemoryMiB,
		Slots:       galleySlots,
		Store:       p.Store,
		RestartTime: opts.RestartTime,
	}
	if d.Partner == Instituto {
		o.Slots = redatorSlots
		o.IgnoresFence = true
	}
	return o
}

// serve starts a stand-in on an address of its own.
func (p *Platform) serve(name string, s standin.Fake) error {
	server, err := standin.Start("127.0.0.1:0", s)
	if err != nil {
		return err
	}
	p.Servers[name] = server
	return nil
}

// list puts a backend server on the platform's list.
func (p *Platform) list(id string, role infra.Role, d Domain, pool string, memoryMiB int64) {
	p.List.Put(infra.Instance{
		ID:            id,
		Role:          role,
		State:         infra.StateLive,
		Region:        d.Region,
		FailureDomain: d.Name,
		Pool:          pool,
		Addr:          p.Servers[id].Addr(),
		MemoryMiB:     memoryMiB,
	})
}

// Close ends all stand-ins.
func (p *Platform) Close() {
	for _, server := range p.Servers {
		_ = server.Close() // it is the end of the process's use of it
	}
}
