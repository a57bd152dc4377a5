// Package endpoint calls model engines and plain services.
package endpoint
