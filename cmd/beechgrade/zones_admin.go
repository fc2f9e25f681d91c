package main

import (
	"errors"
	"net/http"
	"net/url"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/admin"
	zonesadmin "beechgrade/internal/cluster/zones/admin"
)

// zonesPath is the path of failover between zones on the admin endpoint.
const zonesPath = "/-/zones"

// handleAdminCall answers an operator's call: GET shows the state of the zones, POST proposes an order, whose outcome later GETs show.
func (z *zoneFailover) handleAdminCall(method string, query url.Values) admin.Response {
	status := http.StatusOK
	switch method {
	case http.MethodGet:
	case http.MethodPost:
		order, applied, err := zonesadmin.ParseOrder(query, z.adapter.Settings(), z.adapter.State(), z.pooler.loop.Now())
		switch {
		case errors.Is(err, zonesadmin.ErrInvalidOrder):
			return admin.Response{Status: http.StatusBadRequest, Body: []byte(err.Error() + "\n")}
		case errors.Is(err, zonesadmin.ErrBehind):
			return admin.Response{Status: http.StatusServiceUnavailable, Body: []byte(err.Error() + "\n")}
		case err != nil:
			return admin.Response{Status: http.StatusConflict, Body: []byte(err.Error() + "\n")}
		case !applied:
			z.adapter.ProposeOrder(order)
			z.pooler.log.Info("zones: proposing an order from the admin endpoint",
				"zone", order.Zone,
				"state", query.Get("state"),
				"number", order.Number,
				"duration", query.Get("for"))
			status = http.StatusAccepted
		}
	default:
		return admin.Response{Status: http.StatusMethodNotAllowed, AllowedMethod: "GET, POST"}
	}
	s, p := z.adapter.Status()
	leads := z.adapter.Planner() != nil && z.adapter.Planner().IsLeading()
	b, err := jsoniter.Marshal(zonesadmin.NewStatus(z.adapter.Settings(), s, p, z.adapter.State(), leads))
	if err != nil {
		return admin.Response{Status: http.StatusInternalServerError, Body: []byte(err.Error() + "\n")}
	}
	return admin.Response{Status: status, ContentType: "application/json", Body: append(b, '\n')}
}
