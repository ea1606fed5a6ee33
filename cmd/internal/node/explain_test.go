package node

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against plug-ins that are not connected, so that operators get no explanation, and against one that starts tasks.
func TestOperatorsAreToldWhereAJobWouldGo(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 2, 8)
	cluster.awaitReady()
	before := cluster.sumCounters("tasks.starts")
	verdicts := map[string]int{}
	for _, member := range cluster.members {
		response, err := http.Post("http://"+member.Listen.Operators+"/v1/explain", "application/json", bytes.NewReader([]byte(jobBody("", 4, 1))))
		is.NoErr(err)
		var explained struct {
			Parts []struct{ Verdict string }
		}
		is.NoErr(json.NewDecoder(response.Body).Decode(&explained))
		response.Body.Close()
		is.Equal(len(explained.Parts), 1)
		verdicts[explained.Parts[0].Verdict]++
	}
	is.Equal(verdicts, map[string]int{"admitted": 1, "unknown": 1}) // One of the members owns the pool.
	is.Equal(cluster.sumCounters("tasks.starts"), before)
}
