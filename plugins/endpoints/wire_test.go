package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
)

// Guards against parts whose objectives count from their arrival, and against jobs that lose their priority, at other members.
func TestBatchKeepsPriorityAndAgeOnTheWire(t *testing.T) {
	is := is.New(t)
	batch := model.Batch{Priority: 2, JobTasks: 8, Submitted: time.Now().Add(-time.Second)}
	decoded := decodeBatch("n", encodeBatch(envelope{}, batch))
	is.Equal(decoded.Priority, 2)
	is.Equal(decoded.JobTasks, 8)
	is.True(decoded.Submitted.Sub(batch.Submitted).Abs() < 50*time.Millisecond)
	is.True(decodeBatch("n", encodeBatch(envelope{}, model.Batch{})).Submitted.IsZero())
	is.Equal(decodeBatch("n", runRequest{Priority: 1 << 40}).Priority, model.MaxPriority)
}
