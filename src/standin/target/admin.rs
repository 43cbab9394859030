//! The administration of a stand-in target: faults, counts and executions.

use poem::{
    Endpoint, EndpointExt, IntoEndpoint, Response, Route, get, handler, put,
    web::{Data, Json},
};

use super::{
    engine::{Event, Handle},
    fault::Faults,
    front::{optional, read_load},
};

/// The routes of the administration.
pub fn routes(handle: Handle) -> impl IntoEndpoint<Endpoint = impl Endpoint + 'static> {
    Route::new()
        .at("/v1/faults", put(put_faults))
        .at("/v1/counts", get(read_counts))
        .at("/v1/executions", get(read_executions))
        .at("/v1/load", get(read_load))
        .data(handle)
}

#[handler]
async fn put_faults(Data(handle): Data<&Handle>, Json(faults): Json<Faults>) -> Response {
    optional(handle.ask(|reply| Event::Put { faults, reply }).await)
}

#[handler]
async fn read_counts(Data(handle): Data<&Handle>) -> Response {
    optional(handle.ask(|reply| Event::Counts { reply }).await)
}

#[handler]
async fn read_executions(Data(handle): Data<&Handle>) -> Response {
    optional(handle.ask(|reply| Event::Executions { reply }).await)
}
