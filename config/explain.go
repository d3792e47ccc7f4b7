package config

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
)

// Explanation lists every setting of a configuration with its source. Instances
// serve it as JSON on the operators' address.
type Explanation struct {
	Offset   uint64             `json:"offset,omitempty"` // log offset of the verdict that last changed the configuration; 0 if built from a folder
	Settings []ExplainedSetting `json:"settings"`         // sorted by key
}

// ExplainedSetting is one setting's value and its source. A setting that no file
// sets has its default value and no source.
type ExplainedSetting struct {
	Key     string          `json:"key"` // as in models.tray-planner.mib
	Value   json.RawMessage `json:"value"`
	Default bool            `json:"default,omitempty"`
	File    string          `json:"file,omitempty"`
	Partner string          `json:"partner,omitempty"`
	Author  string          `json:"author,omitempty"`
	Offset  uint64          `json:"offset,omitempty"` // log offset of the file's version on the config stream
}

// Explain returns every setting of a configuration with its source.
func Explain(c *Config, from Provenance) Explanation {
	var out Explanation
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

// explainTable returns every setting of one table with its source.
func explainTable(table Key, k tableKind, value reflect.Value, from Provenance) []ExplainedSetting {
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

// encodeValue returns a setting's value as JSON. An empty array is [], not null.
func encodeValue(v reflect.Value) json.RawMessage {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return json.RawMessage("[]")
	}
	data, err := json.Marshal(v.Interface())
	if err != nil { // only for numbers that JSON can't represent, which validation rejects
		return json.RawMessage("null")
	}
	return data
}
