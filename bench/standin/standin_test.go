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

// newOwner starts a fake entry VM that accepts every announcement and forwards it to the channel if there
// is space. It returns the entry VM's address.
func newOwner(t *testing.T, received chan<- announcement) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil {
			select {
			case received <- a:
			default:
			}
		}
		json.NewEncoder(w).Encode(announceReply{Owner: r.Host, EveryMS: 10})
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startStandIn starts a stand-in and returns the channel that receives its announcements.
func startStandIn(t *testing.T, slots int, behaviour Behaviour) (*Endpoint, chan announcement) {
	t.Helper()
	received := make(chan announcement, 1)
	e, err := Start(Config{
		Endpoint: "e1", Service: "s", DataCentre: "dc", Listen: "127.0.0.1:0", Slots: slots,
		Entries: []string{newOwner(t, received)}, Behaviour: behaviour,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, received
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

// startTask sends a request to start a task with a run time of 0.
func startTask(t *testing.T, e *Endpoint, id string, attempt int) (status int, reply map[string]any) {
	t.Helper()
	return post(t, e, "/v1/tasks/"+id, startRequest{TaskID: id, Attempt: attempt, Payload: json.RawMessage(`{"sleep_ms":0}`)})
}

func TestStartAnswersWithItsOwnTask(t *testing.T) {
	is := is.New(t)
	e, _ := startStandIn(t, 1, Behaviour{})
	status, reply := startTask(t, e, "j.0", 1)
	is.Equal(status, http.StatusOK)
	is.Equal(reply["answer"], map[string]any{"endpoint": "e1", "task": "j.0"})
}

func TestRevokeWithoutAttemptFencesEveryAttempt(t *testing.T) {
	is := is.New(t)
	e, _ := startStandIn(t, 1, Behaviour{})
	_, reply := post(t, e, "/v1/tasks/j.0/revoke", revokeRequest{})
	is.Equal(reply["state"], "revoked")
	for attempt := 1; attempt < 4; attempt++ {
		status, reply := startTask(t, e, "j.0", attempt)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(reply["run"], "not_run")
	}
}

func TestLaterAttemptStartsAfterRevokeOfAnEarlierOne(t *testing.T) {
	is := is.New(t)
	e, _ := startStandIn(t, 1, Behaviour{})
	post(t, e, "/v1/tasks/j.0/revoke", revokeRequest{Attempt: 1})
	status, _ := startTask(t, e, "j.0", 1)
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = startTask(t, e, "j.0", 2)
	is.Equal(status, http.StatusOK)
}

func TestRepeatedStartIsRefusedAndReported(t *testing.T) {
	is := is.New(t)
	e, _ := startStandIn(t, 1, Behaviour{})
	startTask(t, e, "j.0", 1)
	is.Equal(len(RepeatedStarts(e.Log())), 0)
	status, _ := startTask(t, e, "j.0", 2)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(RepeatedStarts(e.Log()), []string{"j.0"})
}

func TestRepeatedStartsFindsStartAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	a, _ := startStandIn(t, 1, Behaviour{})
	b, _ := startStandIn(t, 1, Behaviour{})
	startTask(t, a, "j.0", 1)
	startTask(t, b, "j.0", 2)
	is.Equal(RepeatedStarts(a.Log(), b.Log()), []string{"j.0"})
}

func TestBehaviourFailsAndRefusesTasks(t *testing.T) {
	is := is.New(t)
	e, _ := startStandIn(t, 1, Behaviour{FailShare: 1})
	status, _ := startTask(t, e, "j.0", 1)
	is.Equal(status, http.StatusInternalServerError)
	_, reply := post(t, e, "/v1/tasks/j.0/revoke", revokeRequest{})
	is.Equal(reply["state"], "stopped")
	e.SetBehaviour(Behaviour{RefuseShare: 1})
	status, _ = startTask(t, e, "j.1", 1)
	is.Equal(status, http.StatusServiceUnavailable)
}

func TestPausedStandInStartsTaskAfterResume(t *testing.T) {
	is := is.New(t)
	e, _ := startStandIn(t, 1, Behaviour{Freeze: true})
	answered := make(chan int)
	go func() {
		raw, _ := json.Marshal(startRequest{TaskID: "j.0", Attempt: 1, Payload: json.RawMessage(`{}`)})
		response, err := http.Post("http://"+e.Address()+"/v1/tasks/j.0", "application/json", bytes.NewReader(raw))
		if err != nil {
			answered <- 0
			return
		}
		response.Body.Close()
		answered <- response.StatusCode
	}()
	is.Equal(len(e.Log().Records), 0)
	e.SetBehaviour(Behaviour{})
	is.Equal(<-answered, http.StatusOK)
}

func TestLeaveIsAnnounced(t *testing.T) {
	is := is.New(t)
	e, announced := startStandIn(t, 1, Behaviour{})
	is.Equal((<-announced).State, stateServing)
	e.Leave()
	for a := range announced {
		if a.State == stateLeaving {
			return
		}
	}
}

func TestTaskTableEvictsOldestEndedTaskBeyondLimit(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	for i := range 3 {
		added := &task{id: strconv.Itoa(i), state: stateDone}
		table.put(added)
		table.retire(added)
	}
	_, oldest := table.get("0")
	_, newest := table.get("2")
	is.True(!oldest && newest)
	is.Equal(len(table.byID), 2)
}
