package config

import "reflect"

// The kinds of tables.
const (
	kindPartners = "partners"
	kindPools    = "pools"
	kindModels   = "models"
	kindAdapters = "adapters"
	kindServices = "services"
	kindCallers  = "callers"
	kindLifts    = "lifts"
)

// kindNames are the kinds in the order in which refusals list them.
var kindNames = []string{kindPartners, kindPools, kindModels, kindAdapters, kindServices, kindCallers, kindLifts}

// Defaults of settings that no file sets.
const (
	DefaultWeight           = 1
	DefaultAttainmentWeight = 1
	DefaultMovesWeight      = 1
	DefaultFirstTokenMS     = 700
	DefaultPerTokenMS       = 37
	DefaultMaxTokens        = 1024
	DefaultTimeoutMS        = 60_000
	DefaultServiceTimeoutMS = 30_000
)

// kind describes the tables of one kind, read once from Config's tags.
type kind struct {
	field    int            // index in Config
	defaults reflect.Value  // of the struct
	settings map[string]int // by toml name: index in the struct
	owner    int            // index of Owner; -1: none
}

var schema = map[string]kind{
	kindPartners: newKind(0, Partner{Weight: DefaultWeight, AttainmentWeight: DefaultAttainmentWeight, MovesWeight: DefaultMovesWeight}),
	kindPools:    newKind(1, Pool{}),
	kindModels: newKind(2, Model{
		FirstTokenMS: DefaultFirstTokenMS,
		PerTokenMS:   DefaultPerTokenMS,
		MaxTokens:    DefaultMaxTokens,
		TimeoutMS:    DefaultTimeoutMS,
	}),
	kindAdapters: newKind(3, Adapter{}),
	kindServices: newKind(4, Service{TimeoutMS: DefaultServiceTimeoutMS}),
	kindCallers:  newKind(5, Caller{}),
	kindLifts:    newKind(6, Lift{}),
}

func newKind(field int, defaults any) kind {
	k := kind{field: field, defaults: reflect.ValueOf(defaults), settings: map[string]int{}, owner: -1}
	t := k.defaults.Type()
	for i := range t.NumField() {
		if t.Field(i).Name == "Owner" {
			k.owner = i
			continue
		}
		k.settings[t.Field(i).Tag.Get("toml")] = i
	}
	return k
}
