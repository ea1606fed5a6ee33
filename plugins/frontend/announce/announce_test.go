package announce

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
)

const validBody = `{"endpoint":"e1","service":"finder","worker":"w1","kind":"m5","rack":"r1","data_centre":"sj1","address":"127.0.0.1:9000",` +
	`"slots":8,"connections":60,"cores":16,"memory_mb":65536,"accelerators":0,"state":"serving","running":["a.b.1.1.t.0"]}`

type fakePools struct {
	port.Pools
	announced []model.Endpoint
}

func (f *fakePools) Loads(model.ServiceID) []model.PoolLoad { return nil }

func (f *fakePools) Run(context.Context, model.NodeID, model.Batch) model.BatchResult {
	return model.BatchResult{}
}

func (f *fakePools) Announce(_ context.Context, e model.Endpoint) port.Ownership {
	f.announced = append(f.announced, e)
	return port.Ownership{Owner: "127.0.0.1:1", Interval: time.Second, Lease: 3 * time.Second}
}

func (f *fakePools) Endpoints() []port.EndpointStatus { return nil }

func announce(body string) (*httptest.ResponseRecorder, *fakePools) {
	pools := &fakePools{}
	f := &Frontend{pools: pools}
	w := httptest.NewRecorder()
	f.announce(w, httptest.NewRequest("POST", "/v1/endpoints/announce", strings.NewReader(body)))
	return w, pools
}

func TestAnnouncementReachesPools(t *testing.T) {
	is := is.New(t)
	w, pools := announce(validBody)
	is.Equal(w.Code, 200)
	is.Equal(strings.TrimSpace(w.Body.String()), `{"owner":"127.0.0.1:1","every_ms":1000,"lease_ms":3000}`)
	is.Equal(pools.announced[0].Kind, "m5")
	is.Equal(pools.announced[0].Has, model.Needs{MilliCores: 16000, MemoryMB: 65536})
}

func TestInvalidAnnouncementNamesItsField(t *testing.T) {
	for name, c := range map[string]struct{ from, to, detail string }{
		"no endpoint":      {`"e1"`, `""`, "endpoint"},
		"no service":       {`"finder"`, `""`, "service"},
		"no data centre":   {`"sj1"`, `""`, "data_centre"},
		"a long name":      {`"r1"`, `"` + strings.Repeat("x", 129) + `"`, "rack"},
		"a host name":      {`127.0.0.1:9000`, `localhost:9000`, "address"},
		"no slots":         {`"slots":8`, `"slots":0`, "slots"},
		"too many slots":   {`"slots":8`, `"slots":4097`, "slots"},
		"negative cores":   {`"cores":16`, `"cores":-1`, "cores"},
		"too many cores":   {`"cores":16`, `"cores":9223372036854775807`, "cores"},
		"too much memory":  {`"memory_mb":65536`, `"memory_mb":9223372036854775807`, "memory"},
		"port 0":           {`127.0.0.1:9000`, `127.0.0.1:0`, "address"},
		"no such state":    {`serving`, `idle`, "state"},
		"unknown key":      {`"slots":8`, `"slots":8,"x":1`, "x"},
		"too much running": {`["a.b.1.1.t.0"]`, `[""` + strings.Repeat(`,""`, model.MaxSlots) + `]`, "running"},
		"duplicate field":  {`"slots":8`, `"slots":8,"slots":9`, "slots: is a duplicate"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, pools := announce(strings.Replace(validBody, c.from, c.to, 1))
			is.Equal(w.Code, 400)
			is.True(strings.Contains(w.Body.String(), c.detail))
			is.Equal(len(pools.announced), 0)
		})
	}
}

func FuzzAnnouncement(f *testing.F) {
	f.Add(validBody)
	f.Add(strings.Replace(validBody, `"slots":8`, `"slots":-8`, 1))
	f.Add(`{"endpoint":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		var b announceBody
		if settings.DecodeStrict([]byte(text), "", &b) != nil || b.check() != nil {
			return
		}
		e := b.endpoint()
		if e.ID == "" || e.Service == "" || e.Slots < 1 || e.Slots > model.MaxSlots || len(e.Running) > model.MaxSlots {
			t.Fatalf("accepted %q", text)
		}
	})
}
