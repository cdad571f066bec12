package gateway

import (
	"strconv"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// salt returns the cache namespace of the request's parts for a version of the weights, by the
// configuration in force now: a customer may have become isolated since the request arrived.
// Parts that were computed with an unknown version, which is 0, are shared with no other request.
func (j *job) salt(version int64) string {
	if version == 0 {
		return "unknown." + j.call.ID
	}
	return cacheSalt(version, j.gateway.Catalog.Config(), j.customer)
}

// cacheSalt returns the namespace of cached prompt parts. Parts that were computed with
// different weights have different namespaces, each isolated customer has its own, and the
// others share one that no customer which is isolated now has ever used.
func cacheSalt(version int64, config *catalog.Config, customer *catalog.Customer) string {
	salt := "w" + strconv.FormatInt(version, 10)
	if customer != nil {
		if current := config.Customers[customer.Name]; current != nil {
			customer = current
		}
		if customer.Isolated {
			return salt + "." + customer.Name
		}
	}
	if config.SharedNamespace != "" {
		salt += "+" + config.SharedNamespace
	}
	return salt
}
