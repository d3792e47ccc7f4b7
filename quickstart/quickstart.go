// Package quickstart runs a small version of two partners' deployments in one
// process on loopback, for trying the program out and for tests of the whole system.
// All state is in memory.
//
// Run starts a Platform, the stand-ins for the platform, model engines and plain
// services, and an entry instance in each of four failure domains. RunPlatform runs
// instances on stand-ins of the users' platform instead.
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

// Names of the partners and keys of their client accounts, as the files in partners/
// declare them.
const (
	FlightKitchen    = "flight-kitchen"
	Instituto        = "instituto"
	FlightKitchenKey = "quickstart-flight-kitchen"
	InstitutoKey     = "quickstart-instituto"
)

//go:embed partners
var partnerFiles embed.FS

// Files returns the partners' embedded configuration files.
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

// Domain is a failure domain of the deployment and the backend servers in it.
type Domain struct {
	Name    string
	Region  string
	Partner string // owner of the backend servers
	Pool    string // pool of the model engines
	Engines int    // number of model engines
	Service string // name of the plain service
}

// Domains returns the failure domains that the partners' files name.
func Domains() []Domain {
	return []Domain{
		{"dock-hall-a", "nashua-valley", FlightKitchen, "galley-models", 2, "order-desk"},
		{"dock-hall-b", "nashua-valley", FlightKitchen, "galley-models", 2, "order-desk"},
		{"porto-a", "sul", Instituto, "redator", 2, "campo"},
		{"pelotas", "sul", Instituto, "redator", 2, "campo"},
	}
}

// Sizes of the stand-ins. Memory and slots are those that the partners' files declare.
const (
	engineMemoryMiB = 24000
	galleySlots     = 8
	redatorSlots    = 6
	// storeMiBPerSecond loads a model of 9,000 MiB within half a second, to keep
	// the start of the quickstart short.
	storeMiBPerSecond = 20000
	serviceCallTime   = 5 * time.Millisecond
)

// storeLimits returns the load limits of the partners' weight stores: about 3 loads a
// second with 3 at a time, and 1 a second with 7 at a time.
func storeLimits() map[string]infra.StoreLimits {
	return map[string]infra.StoreLimits{
		FlightKitchen: {LoadsPerSecond: 3, ConcurrentLoads: 3},
		Instituto:     {LoadsPerSecond: 1, ConcurrentLoads: 7},
	}
}

// Platform holds the stand-ins for the platform and for the backend servers, each on
// its own loopback address.
type Platform struct {
	Log      *standin.Log
	List     *standin.InstanceList
	Store    *standin.WeightStore
	Engines  map[string]*standin.Engine  // by id
	Services map[string]*standin.Service // by id
	Servers  map[string]*standin.Server  // by id, and "log", "list" and "store"
}

// PlatformOptions configure the stand-ins.
type PlatformOptions struct {
	Domains     []Domain      // default Domains()
	ListLag     time.Duration // age of the instance list that readers see
	History     bool          // the log keeps all records ever appended, for Log.Truth
	RestartTime time.Duration // of an engine after a crash
}

// StartPlatform starts the stand-ins. Close stops them.
func StartPlatform(opts PlatformOptions) (*Platform, error) {
	if opts.Domains == nil {
		opts.Domains = Domains()
	}
	p := &Platform{
		Log:      standin.NewLog(standin.LogOptions{History: opts.History}),
		List:     standin.NewInstanceList(opts.ListLag),
		Store:    standin.NewWeightStore(standin.StoreOptions{Limits: storeLimits(), MiBPerSecond: storeMiBPerSecond}),
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
	standins := map[string]standin.Fake{"log": p.Log, "list": p.List, "store": p.Store}
	for name, s := range standins {
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
		p.register(id, infra.RoleEngine, d, d.Pool, engineMemoryMiB)
	}
	id := fmt.Sprintf("%s-%s-1", d.Service, d.Name)
	p.Services[id] = standin.NewService(standin.ServiceOptions{Name: d.Service, CallDuration: serviceCallTime})
	if err := p.serve(id, p.Services[id]); err != nil {
		return err
	}
	p.register(id, infra.RoleService, d, d.Service, 0)
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

// serve starts a stand-in on its own loopback address.
func (p *Platform) serve(name string, s standin.Fake) error {
	server, err := standin.Start("127.0.0.1:0", s)
	if err != nil {
		return err
	}
	p.Servers[name] = server
	return nil
}

// register adds a backend server to the platform's instance list.
func (p *Platform) register(id string, role infra.Role, d Domain, pool string, memoryMiB int64) {
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

// Close stops all stand-ins.
func (p *Platform) Close() {
	for _, server := range p.Servers {
		_ = server.Close() // the server isn't used any more
	}
}
