package request

// Flow identifies the requests of a route that one service runs. What is learned of requests,
// such as how long they take, is kept by flow: a version of the configuration may give the name
// of a route to another service, and a route may have several.
type Flow string

// FlowOf returns the flow of the requests of a route at a service.
func FlowOf(route, service string) Flow { return Flow(route + "\x00" + service) }
