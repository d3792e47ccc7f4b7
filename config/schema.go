package config

import "reflect"

// Kinds of tables.
const (
	kindPartners = "partners"
	kindPools    = "pools"
	kindModels   = "models"
	kindAdapters = "adapters"
	kindServices = "services"
	kindCallers  = "callers"
	kindLifts    = "lifts"
)

// kindNames lists the kinds in the order used in error messages.
var kindNames = []string{kindPartners, kindPools, kindModels, kindAdapters, kindServices, kindCallers, kindLifts}

// Default values of settings.
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

// tableKind describes the tables of one kind. It is derived from the toml tags of
// the kind's struct.
type tableKind struct {
	field    int            // index of the field in Config
	defaults reflect.Value  // struct with the default values
	settings map[string]int // index of the field in the struct, by toml name
	owner    int            // index of the field Owner; -1 if there is none
}

// schema has the kinds of tables by their names.
var schema = map[string]tableKind{
	kindPartners: newTableKind(0, Partner{Weight: DefaultWeight, AttainmentWeight: DefaultAttainmentWeight, MovesWeight: DefaultMovesWeight}),
	kindPools:    newTableKind(1, Pool{}),
	kindModels: newTableKind(2, Model{
		FirstTokenMS: DefaultFirstTokenMS,
		PerTokenMS:   DefaultPerTokenMS,
		MaxTokens:    DefaultMaxTokens,
		TimeoutMS:    DefaultTimeoutMS,
	}),
	kindAdapters: newTableKind(3, Adapter{}),
	kindServices: newTableKind(4, Service{TimeoutMS: DefaultServiceTimeoutMS}),
	kindCallers:  newTableKind(5, Caller{}),
	kindLifts:    newTableKind(6, QuarantineLift{}),
}

// newTableKind describes the kind whose tables are Config's field with that index.
func newTableKind(field int, defaults any) tableKind {
	k := tableKind{field: field, defaults: reflect.ValueOf(defaults), settings: map[string]int{}, owner: -1}
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
