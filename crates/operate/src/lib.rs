//! Plans, controllers, drains, rollouts and explanations.
