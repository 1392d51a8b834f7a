// Package standin holds small stand-ins for what surrounds a node: the platform's
// store, backend servers and the operator. They speak the published protocol, so
// that the programs can be run and tested without the platform.
//
// The stand-ins define the wire names themselves instead of importing package
// platform: with shared definitions, a wrong name there would go unnoticed because
// both sides would use it.
package standin
