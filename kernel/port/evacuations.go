package port

import (
	"context"

	"redwingpulley/kernel/model"
)

// Evacuations accepts operators' orders to evacuate data centres. Profiles tells which are in force.
type Evacuations interface {
	// Order has a majority of the replicas accept that the data centre is evacuated or, with evacuate false, that it is no longer.
	// It may be repeated. A status other than EditDone says that the order is not known to be in force; it may be sent again.
	Order(ctx context.Context, dc model.DataCentre, evacuate bool) model.EditStatus
}
