package config

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
)

// Explained is a whole configuration with where each value is from. It is the
// JSON that the operators' address serves.
type Explained struct {
	Offset   uint64             `json:"offset,omitempty"` // of the verdict that last changed what is in force; 0 offline
	Settings []ExplainedSetting `json:"settings"`         // by key
}

// ExplainedSetting is one setting's value and its source. One that no file sets
// has its default, and no source.
type ExplainedSetting struct {
	Key     string          `json:"key"` // as in models.tray-planner.mib
	Value   json.RawMessage `json:"value"`
	Default bool            `json:"default,omitempty"`
	File    string          `json:"file,omitempty"`
	Partner string          `json:"partner,omitempty"`
	Author  string          `json:"author,omitempty"`
	Offset  uint64          `json:"offset,omitempty"` // of the file's version on the config stream
}

// Explain lists every setting of a configuration.
func Explain(c *Config, from Provenance) Explained {
	var out Explained
	fields := reflect.ValueOf(c).Elem()
	for name, k := range schema {
		tables := fields.Field(k.field).MapRange()
		for tables.Next() {
			table := Key{Kind: name, Name: tables.Key().String()}
			out.Settings = append(out.Settings, explainTable(table, k, tables.Value(), from)...)
		}
	}
	slices.SortFunc(out.Settings, func(a, b ExplainedSetting) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func explainTable(table Key, k kind, value reflect.Value, from Provenance) []ExplainedSetting {
	out := make([]ExplainedSetting, 0, len(k.settings))
	for setting, index := range k.settings {
		key := Key{Kind: table.Kind, Name: table.Name, Setting: setting}
		source, set := from[key]
		out = append(out, ExplainedSetting{
			Key:     key.String(),
			Value:   encodeValue(value.Field(index)),
			Default: !set,
			File:    source.File,
			Partner: source.Partner,
			Author:  source.Author,
			Offset:  source.Offset,
		})
	}
	return out
}

// encodeValue writes a setting's value as JSON. An array without entries is [].
func encodeValue(v reflect.Value) json.RawMessage {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return json.RawMessage("[]")
	}
	data, err := json.Marshal(v.Interface())
	if err != nil { // only for numbers that JSON lacks, which the rules refuse
		return json.RawMessage("null")
	}
	return data
}
