package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// owner is an entry VM that takes every announcement and passes it on.
func owner(t *testing.T, announced chan<- announcement) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil {
			select {
			case announced <- a:
			default:
			}
		}
		json.NewEncoder(w).Encode(ownership{Owner: r.Host, EveryMS: 10})
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func begin(t *testing.T, slots int, behaviour Behaviour) (*Endpoint, chan announcement) {
	t.Helper()
	announced := make(chan announcement, 1)
	e, err := Start(Config{
		Endpoint: "e1", Service: "s", DataCentre: "dc", Listen: "127.0.0.1:0", Slots: slots,
		Entries: []string{owner(t, announced)}, Behaviour: behaviour,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, announced
}

func post(t *testing.T, e *Endpoint, path string, body any) (status int, reply map[string]any) {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+e.Address()+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, reply
}

func start(t *testing.T, e *Endpoint, id string, attempt int) (status int, reply map[string]any) {
	t.Helper()
	return post(t, e, "/v1/tasks/"+id, startBody{TaskID: id, Attempt: attempt, Payload: json.RawMessage(`{"sleep_ms":0}`)})
}

func TestStartAnswersForItsOwnTask(t *testing.T) {
	is := is.New(t)
	e, _ := begin(t, 1, Behaviour{})
	status, reply := start(t, e, "j.0", 1)
	is.Equal(status, http.StatusOK)
	is.Equal(reply["answer"], map[string]any{"endpoint": "e1", "task": "j.0"})
}

func TestRevokeWithoutAttemptFencesEveryAttempt(t *testing.T) {
	is := is.New(t)
	e, _ := begin(t, 1, Behaviour{})
	_, reply := post(t, e, "/v1/tasks/j.0/revoke", revokeBody{})
	is.Equal(reply["state"], "revoked")
	for attempt := 1; attempt < 4; attempt++ {
		status, reply := start(t, e, "j.0", attempt)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(reply["run"], "not_run")
	}
}

func TestRevokeOfAnAttemptLetsALaterOneStart(t *testing.T) {
	is := is.New(t)
	e, _ := begin(t, 1, Behaviour{})
	post(t, e, "/v1/tasks/j.0/revoke", revokeBody{Attempt: 1})
	status, _ := start(t, e, "j.0", 1)
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = start(t, e, "j.0", 2)
	is.Equal(status, http.StatusOK)
}

func TestRepeatedStartIsRefusedAndReported(t *testing.T) {
	is := is.New(t)
	e, _ := begin(t, 1, Behaviour{})
	start(t, e, "j.0", 1)
	is.Equal(len(Repeated(e.Log())), 0)
	status, _ := start(t, e, "j.0", 2)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(Repeated(e.Log()), []string{"j.0"})
}

func TestRepeatedFindsAStartAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	a, _ := begin(t, 1, Behaviour{})
	b, _ := begin(t, 1, Behaviour{})
	start(t, a, "j.0", 1)
	start(t, b, "j.0", 2)
	is.Equal(Repeated(a.Log(), b.Log()), []string{"j.0"})
}

func TestBehavioursFailAndRefuse(t *testing.T) {
	is := is.New(t)
	e, _ := begin(t, 1, Behaviour{FailShare: 1})
	status, _ := start(t, e, "j.0", 1)
	is.Equal(status, http.StatusInternalServerError)
	_, reply := post(t, e, "/v1/tasks/j.0/revoke", revokeBody{})
	is.Equal(reply["state"], "stopped")
	e.Behave(Behaviour{RefuseShare: 1})
	status, _ = start(t, e, "j.1", 1)
	is.Equal(status, http.StatusServiceUnavailable)
}

func TestFrozenStandInStartsLateUnlessItWasRevoked(t *testing.T) {
	is := is.New(t)
	e, _ := begin(t, 1, Behaviour{Freeze: true})
	answered := make(chan int)
	go func() {
		raw, _ := json.Marshal(startBody{TaskID: "j.0", Attempt: 1, Payload: json.RawMessage(`{}`)})
		response, err := http.Post("http://"+e.Address()+"/v1/tasks/j.0", "application/json", bytes.NewReader(raw))
		if err != nil {
			answered <- 0
			return
		}
		response.Body.Close()
		answered <- response.StatusCode
	}()
	is.Equal(len(e.Log().Records), 0)
	e.Behave(Behaviour{})
	is.Equal(<-answered, http.StatusOK)
}

func TestLeaveIsAnnouncedAtOnce(t *testing.T) {
	is := is.New(t)
	e, announced := begin(t, 1, Behaviour{})
	is.Equal((<-announced).State, stateServing)
	e.Leave()
	for a := range announced {
		if a.State == stateLeaving {
			return
		}
	}
}

func TestTableForgetsTheOldestBeyondItsLimit(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	for i := range 3 {
		added := &task{id: strconv.Itoa(i), state: stateDone}
		table.put(added)
		table.ended(added)
	}
	_, oldest := table.get("0")
	_, newest := table.get("2")
	is.True(!oldest && newest)
	is.Equal(len(table.byID), 2)
}
