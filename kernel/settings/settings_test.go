package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{"node":"sj1-a","region":"cr","data_centre":"sj1",
 "listen":{"callers":"127.0.0.1:7001","endpoints":"127.0.0.1:7002","operators":"127.0.0.1:7003","peers":"127.0.0.1:7004"},
 "members":[{"node":"sj1-a","data_centre":"sj1","peers":"127.0.0.1:7004","endpoints":"127.0.0.1:7002","disk":true}],
 "data_dir":"data/sj1-a","plugins":{"placement.least_wait":{}}}`

func TestParseAcceptsValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(string(s.Node), "sj1-a")
	self, ok := s.Self()
	is.True(ok)
	is.True(self.Disk)
}

func TestParseErrorNamesPathOfFault(t *testing.T) {
	cases := []struct{ name, from, to, path string }{
		{"unknown key", `"region"`, `"regoin"`, "regoin"},
		{"duplicate key", `"region":"cr"`, `"region":"cr","region":"x"`, "region: is a duplicate"},
		{"duplicate nested key", `"disk":true`, `"disk":true,"disk":false`, "members[0].disk: is a duplicate"},
		{"unknown nested key", `"disk":true`, `"disc":true`, "members[0].disc: no such key"},
		{"key in another case", `"region":"cr"`, `"region":"cr","Region":"x"`, "Region: no such key"},
		{"wrong type", `"data_dir":"data/sj1-a"`, `"data_dir":3`, "data_dir"},
		{"bad address", `"callers":"127.0.0.1:7001"`, `"callers":"localhost:7001"`, "listen.callers"},
		{"node name", `{"node":"sj1-a","region"`, `{"node":"SJ","region"`, "node"},
		{"not a member", `"members":[{"node":"sj1-a"`, `"members":[{"node":"sj1-b"`, "members"},
		{"no folder for a disk", `"data_dir":"data/sj1-a",`, ``, "data_dir"},
		{"trailing data", `{"placement.least_wait":{}}}`, `{"placement.least_wait":{}}} {}`, "data after"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.path))
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{"node":"","data_centre":""}`))
	for _, path := range []string{"node", "data_centre", "listen.callers", "listen.peers", "members"} {
		is.True(strings.Contains(err.Error(), path))
	}
}

func TestDecodeStrictReportsAllFaults(t *testing.T) {
	is := is.New(t)
	var target struct {
		Node  string             `json:"node"`
		Ports []uint16           `json:"ports"`
		Rates map[string]float64 `json:"rates"`
		Inner struct {
			On bool `json:"on"`
		} `json:"inner"`
	}
	raw := `{"node":3,"ports":[1,-1,70000,"x"],"rates":{"a":1.5,"b":[]},"inner":{"on":1,"off":2},"Node":"x","more":{"y":1}}`
	err := DecodeStrict([]byte(raw), "plugins.p", &target)
	is.True(err != nil)
	for _, fault := range []string{
		"plugins.p.node: must be a string, not 3",
		"plugins.p.ports[1]: must be an integer that is not negative, not -1",
		"plugins.p.ports[2]: must be an integer that is not negative, not 70000",
		"plugins.p.ports[3]: must be an integer that is not negative, not a string",
		"plugins.p.rates.b: must be a number, not an array",
		"plugins.p.inner.on: must be true or false, not 1",
		"plugins.p.inner.off: no such key",
		"plugins.p.Node: no such key",
		"plugins.p.more: no such key",
	} {
		is.True(strings.Contains(err.Error(), fault)) // The error contains the fault.
	}
}

func FuzzDecodeStrict(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"a":[{"b":1,"b":2}]}`))
	f.Add([]byte(`[[[`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var s Settings
		if DecodeStrict(raw, "", &s) == nil {
			s.Check()
		}
		var untyped any
		if DecodeStrict(raw, "", &untyped) == nil && json.Unmarshal(raw, &untyped) != nil {
			panic("DecodeStrict accepts JSON that the standard library rejects")
		}
	})
}

func BenchmarkDecodeStrict(b *testing.B) {
	raw := []byte(`{"node":"n","members":[` + strings.Repeat(`{"node":"sj1-a","data_centre":"sj1","peers":"127.0.0.1:7004","endpoints":"127.0.0.1:7002","disk":true},`, 159) + `{}]}`)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		var s Settings
		if err := DecodeStrict(raw, "", &s); err != nil {
			b.Fatal(err)
		}
	}
}

// TestDifferencesNamesEachChangedKey changes each field in turn. It fails when a new field of
// Settings is missing from Differences.
func TestDifferencesNamesEachChangedKey(t *testing.T) {
	is := is.New(t)
	fields := reflect.TypeFor[Settings]()
	for i := range fields.NumField() {
		key, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
		var changed Settings
		switch field := reflect.ValueOf(&changed).Elem().Field(i); field.Kind() {
		case reflect.String:
			field.SetString("x")
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Float64:
			field.SetFloat(1)
		case reflect.Slice:
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
		case reflect.Map:
			changed.Plugins = map[string]json.RawMessage{"membership": json.RawMessage("{}")}
			key = "plugins.membership"
		default:
			changed.Listen.Peers, changed.Log.Routine = "x", true
			is.Equal(Settings{}.Differences(changed), []string{"listen", "log"})
			continue
		}
		is.Equal(Settings{}.Differences(changed), []string{key})
		is.Equal(changed.Differences(changed), nil)
	}
}
