package membership

import (
	"encoding/json"
	"testing"
	"time"

	"redwingpulley/kernel/port"
	"redwingpulley/plugins/membership/swim"
)

// FuzzPing has a member handle any ping and any answer. For longer:
// go test ./plugins/membership -run xxx -fuzz FuzzPing -fuzztime 2m
func FuzzPing(f *testing.F) {
	f.Add([]byte(`{"r":[{"n":"b","i":"x","d":"dc1","p":"127.0.0.1:1","e":"127.0.0.1:2","t":1,"v":2,"s":1}],"v":[{"n":"b","t":"loads","e":1,"v":1,"b":"e30="}]}`))
	f.Add([]byte(`{"r":[{"n":"a","t":9,"s":3},{"n":"","s":99},{"n":"b","s":-1}],"v":[{"n":"a","e":18446744073709551615}],"all":true}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var message wireMessage
		if json.Unmarshal(raw, &message) != nil {
			return
		}
		now := time.UnixMilli(1_700_000_000_000)
		m := swim.New(now, swim.Config{Self: port.Node{ID: "a"}, Seeds: []port.Node{{ID: "b"}}, Epoch: 1, Period: time.Second, RandomSeed: 1})
		for step := range 4 {
			now = now.Add(time.Second)
			for _, ping := range m.Step(now, swim.Elapsed{}).Pings {
				m.Step(now, swim.PingAnswered{Probe: ping.Probe, Message: message.decode()})
			}
			m.Step(now, swim.PingReceived{Message: message.decode()})
			if step == 2 {
				m.Step(now, swim.Leaving{})
			}
		}
	})
}
