package wire

import (
	"time"

	"redwingpulley/kernel/model"
)

// routing is the encoded form of a model.Routing.
type routing struct {
	Version  uint64            `json:"version"`
	Routes   []route           `json:"routes,omitempty"`
	Services []model.ServiceID `json:"services,omitempty"`
	MaxBody  int64             `json:"max_body,omitempty"`
	Document []byte            `json:"document,omitempty"`
}

type route struct {
	Name        string          `json:"name"`
	Host        string          `json:"host"`
	PathPrefix  string          `json:"prefix"`
	Service     model.ServiceID `json:"service"`
	Timeout     time.Duration   `json:"timeout_ns"`
	MaxFailures int             `json:"failures,omitempty"`
	Objective   objective       `json:"objective,omitzero"`
	Priority    int             `json:"priority,omitempty"`
}

type objective struct {
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"slack_ns"`
	Useful  float64       `json:"useful"`
}

func encodeRoute(r model.Route) route {
	return route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Service: r.Service, Timeout: r.Timeout,
		MaxFailures: r.MaxFailures, Objective: objective(r.Objective), Priority: r.Priority,
	}
}

func (r route) decode() model.Route {
	return model.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Service: r.Service, Timeout: r.Timeout,
		MaxFailures: r.MaxFailures, Objective: model.Objective(r.Objective), Priority: model.ClampPriority(r.Priority),
	}
}

func encodeRouting(r *model.Routing) *routing {
	if r == nil {
		return nil
	}
	encoded := &routing{Version: r.Version, Services: r.Services, MaxBody: r.MaxBody, Document: r.Document}
	for _, one := range r.Routes {
		encoded.Routes = append(encoded.Routes, encodeRoute(one))
	}
	return encoded
}

func (r *routing) decode() *model.Routing {
	if r == nil {
		return nil
	}
	decoded := &model.Routing{Version: r.Version, Services: r.Services, MaxBody: r.MaxBody, Document: r.Document}
	for _, one := range r.Routes {
		decoded.Routes = append(decoded.Routes, one.decode())
	}
	return decoded
}
